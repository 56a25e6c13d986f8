package org.parsleyhead.core.ticket;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.RandomNumbers;
import org.parsleyhead.core.ticket.ServiceState.SnapshotStatus;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Compares catalogues with random other hosts, so that every loss heals.
 *
 * <p>Stateless apart from its settings and thread-safe. A comparison of equal catalogues costs two
 * short messages. Single missing tickets are passed on as they were published; other differences
 * are found by the digests of buckets, and only the items of differing buckets are sent. A transfer
 * is merged only by the run that asked for it, since a new run lacks the buckets that were equal.
 */
final class PeerExchange {

  private static final long NO_SEED = 0;
  private static final int START_FANOUT = 3;
  private static final int MAXIMUM_PART_BYTES = 512 * 1024;
  private static final int FEW_BUCKETS = 16;
  private static final Duration LONG_TRANSFER_INTERVAL = Duration.ofSeconds(10);
  private static final int MAXIMUM_TRANSFERS = 4;

  private final ConfigurationSettings settings;
  private final Merging merging;

  PeerExchange(ConfigurationSettings settings, Merging merging) {
    this.settings = settings;
    this.merging = merging;
  }

  /** Starts the comparison that is due; a host that is not yet ready asks several at once. */
  ConfigurationState compare(
      ConfigurationState state, MonotonicTime time, List<ConfigurationEffect> effects) {
    if (time.isBefore(state.peers().nextComparison())) {
      return state;
    }
    List<HostName> others = new ArrayList<>(state.peers().others(settings.self()));
    int fanout = state.ready() ? 1 : START_FANOUT;
    for (int index = 0; index < fanout && !others.isEmpty(); index++) {
      HostName host = RandomNumbers.choose(others, RandomNumbers.derive(state.seed(), index));
      others.remove(host);
      effects.add(new ConfigurationEffect.Send(host, summaryOf(state, true, time)));
    }
    MonotonicTime next =
        time.plus(state.ready() ? settings.comparisonInterval() : settings.retryDelay());
    return state.withPeers(state.peers().withNextComparison(next));
  }

  /** Takes up another host's summary and sends what the other host certainly lacks. */
  ConfigurationState summary(
      ConfigurationState state,
      HostName from,
      ConfigurationSummary summary,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    ConfigurationState heard =
        state
            .withPeers(state.peers().heard(summary.ready(), summary.mergedThrough()))
            .withService(state.service().withContact(time.minus(summary.contactAge())));
    if (summary.answerWanted()) {
      effects.add(new ConfigurationEffect.Send(from, summaryOf(heard, false, time)));
    }
    if (summary.digest() == heard.catalogue().digests().root()) {
      return heard.withApplied(heard.applied().plusThrough(summary.mergedThrough()));
    }
    boolean behind = summary.mergedThrough() < heard.mergedThrough();
    List<TicketFragment> lacked =
        behind ? heard.log().between(summary.mergedThrough(), heard.mergedThrough()) : List.of();
    lacked.forEach(fragment -> effects.add(new ConfigurationEffect.Send(from, fragment)));
    boolean equallyFar = summary.mergedThrough() == heard.mergedThrough();
    boolean compares =
        heard.seed() != NO_SEED
            && lacked.isEmpty()
            && (behind || (equallyFar && !summary.answerWanted()));
    return compares ? sendDigests(heard, from, true, effects) : heard;
  }

  /** Takes up another host's digests and sends the items of the buckets that differ. */
  ConfigurationState digests(
      ConfigurationState state,
      HostName from,
      DigestComparison comparison,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    BucketDigests own = state.catalogue().digests();
    List<Integer> differing = own.differingFrom(comparison.sums());
    ConfigurationState sent = sendItems(state, from, comparison.identifier(), differing, effects);
    boolean busy =
        state.seed() == NO_SEED
            || time.isBefore(state.peers().nextTransfer())
            || state.service().snapshot().status() == SnapshotStatus.READING;
    if (!comparison.answerWanted() || differing.isEmpty() || busy) {
      return sent;
    }
    Duration pause =
        differing.size() > FEW_BUCKETS ? LONG_TRANSFER_INTERVAL : settings.comparisonInterval();
    PeerState peers = sent.peers().withNextTransfer(time.plus(pause));
    return sendDigests(sent.withPeers(peers), from, false, effects);
  }

  /** Takes up a part of a transfer; merges the transfer if it is now complete. */
  ConfigurationState transfer(
      ConfigurationState state,
      HostName from,
      ItemTransfer transfer,
      List<ConfigurationEffect> effects) {
    Long comparison = state.peers().comparisons().get(from);
    if (comparison == null || comparison != transfer.comparison()) {
      return state;
    }
    PMap<HostName, PMap<Integer, ItemTransfer>> transfers = state.peers().transfers();
    PMap<Integer, ItemTransfer> parts = partsOf(transfers.get(from), transfer);
    boolean tooMany = !transfers.containsKey(from) && transfers.size() >= MAXIMUM_TRANSFERS;
    if (tooMany) {
      return state.withPeers(state.peers().withTransfers(HashTreePMap.empty()));
    }
    if (parts.size() < transfer.parts()) {
      return state.withPeers(state.peers().withTransfers(transfers.plus(from, parts)));
    }
    List<HeardItem> items = parts.values().stream().flatMap(part -> part.items().stream()).toList();
    return merging.items(
        state.withPeers(state.peers().withTransfers(transfers.minus(from))),
        items,
        transfer.mergedThrough(),
        new ChangeSource.Peer(from),
        effects);
  }

  private static PMap<Integer, ItemTransfer> partsOf(
      PMap<Integer, ItemTransfer> known, ItemTransfer transfer) {
    boolean same =
        known != null
            && known.values().stream()
                .allMatch(
                    part ->
                        part.identifier() == transfer.identifier()
                            && part.parts() == transfer.parts());
    PMap<Integer, ItemTransfer> parts = same ? known : HashTreePMap.empty();
    return parts.plus(transfer.part(), transfer);
  }

  /** Sends the digests of this host; the answer is bound to this comparison of this run. */
  private static ConfigurationState sendDigests(
      ConfigurationState state,
      HostName to,
      boolean answerWanted,
      List<ConfigurationEffect> effects) {
    long identifier = drawIdentifier(state);
    List<Long> sums = state.catalogue().digests().sums();
    effects.add(
        new ConfigurationEffect.Send(to, new DigestComparison(identifier, sums, answerWanted)));
    return state.withPeers(state.peers().withComparison(to, identifier));
  }

  private static long drawIdentifier(ConfigurationState state) {
    return RandomNumbers.derive(state.seed(), START_FANOUT + state.peers().identifiers());
  }

  private static ConfigurationState sendItems(
      ConfigurationState state,
      HostName to,
      long comparison,
      List<Integer> buckets,
      List<ConfigurationEffect> effects) {
    List<HeardItem> items = state.catalogue().itemsIn(new HashSet<>(buckets));
    if (items.isEmpty()) {
      return state;
    }
    List<List<HeardItem>> parts = split(items);
    long identifier = drawIdentifier(state);
    for (int part = 1; part <= parts.size(); part++) {
      ItemTransfer transfer =
          new ItemTransfer(
              comparison,
              identifier,
              part,
              parts.size(),
              state.mergedThrough(),
              parts.get(part - 1));
      effects.add(new ConfigurationEffect.Send(to, transfer));
    }
    return state.withPeers(state.peers().withDrawnIdentifier());
  }

  private static List<List<HeardItem>> split(List<HeardItem> items) {
    List<List<HeardItem>> parts = new ArrayList<>();
    List<HeardItem> part = new ArrayList<>();
    int bytes = 0;
    for (HeardItem item : items) {
      int size = item.estimatedBytes();
      if (bytes + size > MAXIMUM_PART_BYTES && !part.isEmpty()) {
        parts.add(part);
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(item);
      bytes += size;
    }
    parts.add(part);
    return parts;
  }

  static ConfigurationSummary summaryOf(
      ConfigurationState state, boolean answerWanted, MonotonicTime time) {
    return new ConfigurationSummary(
        state.mergedThrough(),
        state.catalogue().highest().value(),
        state.catalogue().digests().root(),
        state.contactAge(time),
        state.ready(),
        answerWanted);
  }
}
