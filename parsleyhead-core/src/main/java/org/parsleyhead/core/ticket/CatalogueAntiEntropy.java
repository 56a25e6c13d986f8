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
 * Anti-entropy protocol between hosts: compares catalogues with random other hosts, so that lost
 * messages are compensated.
 *
 * <p>Stateless apart from its settings and thread-safe. A comparison of equal catalogues costs two
 * short messages. A few missing tickets are sent as they were published; other differences are
 * located by bucket digests, and only the items of differing buckets are sent. A transfer is merged
 * only by the process that requested it: after a restart the process no longer has the items of the
 * buckets whose digests were equal.
 */
final class CatalogueAntiEntropy {

  /** The seed before the first tick; until then this host sends no digests. */
  private static final long NO_SEED = 0;

  private static final int STARTUP_FANOUT = 3;
  private static final int MAXIMUM_PART_BYTES = 512 * 1024;
  private static final int MAXIMUM_SHORT_TRANSFER_BUCKETS = 16;
  private static final Duration LONG_TRANSFER_INTERVAL = Duration.ofSeconds(10);
  private static final int MAXIMUM_CONCURRENT_TRANSFERS = 4;

  private final ConfigurationSettings settings;
  private final CatalogueMerger merger;

  CatalogueAntiEntropy(ConfigurationSettings settings, CatalogueMerger merger) {
    this.settings = settings;
    this.merger = merger;
  }

  /** Starts a due comparison; a host that is not ready compares with several hosts at once. */
  ConfigurationState startComparisons(
      ConfigurationState state, MonotonicTime time, List<ConfigurationEffect> effects) {
    if (time.isBefore(state.peers().nextComparison())) {
      return state;
    }
    List<HostName> candidates = new ArrayList<>(state.peers().reachablePeers(settings.self()));
    int fanout = state.ready() ? 1 : STARTUP_FANOUT;
    for (int index = 0; index < fanout && !candidates.isEmpty(); index++) {
      HostName host = RandomNumbers.choose(candidates, RandomNumbers.derive(state.seed(), index));
      candidates.remove(host);
      effects.add(new ConfigurationEffect.Send(host, summaryOf(state, true, time)));
    }
    MonotonicTime next =
        time.plus(state.ready() ? settings.comparisonInterval() : settings.retryDelay());
    return state.withPeers(state.peers().withNextComparison(next));
  }

  /**
   * Handles the summary of another host. Replies if requested. Equal catalogues need no further
   * exchange. If the other host is behind, sends the tickets that it lacks if the log still has all
   * of them. If the log lacks any, or if a reply shows different items at the same ticket number,
   * sends the digests of this host.
   */
  ConfigurationState handleSummary(
      ConfigurationState state,
      HostName from,
      ConfigurationSummary summary,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    ConfigurationState updated =
        state
            .withPeers(state.peers().withPeerSummary(summary.ready(), summary.mergedThrough()))
            .withService(state.service().withContact(time.minus(summary.contactAge())));
    if (summary.replyRequested()) {
      effects.add(new ConfigurationEffect.Send(from, summaryOf(updated, false, time)));
    }
    if (summary.digest() == updated.catalogue().digests().root()) {
      return updated.withApplied(updated.applied().plusThrough(summary.mergedThrough()));
    }
    boolean behind = summary.mergedThrough() < updated.mergedThrough();
    List<TicketFragment> missing =
        behind
            ? updated.log().between(summary.mergedThrough(), updated.mergedThrough())
            : List.of();
    missing.forEach(fragment -> effects.add(new ConfigurationEffect.Send(from, fragment)));
    boolean sameProgress = summary.mergedThrough() == updated.mergedThrough();
    boolean compares =
        updated.seed() != NO_SEED
            && missing.isEmpty()
            && (behind || (sameProgress && !summary.replyRequested()));
    return compares ? sendDigests(updated, from, true, effects) : updated;
  }

  /**
   * Handles the digests of another host: sends the items of the differing buckets and, if requested
   * and if this host may request a transfer now, its own digests.
   */
  ConfigurationState handleDigests(
      ConfigurationState state,
      HostName from,
      DigestComparison comparison,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    BucketDigests own = state.catalogue().digests();
    List<Integer> differing = own.differingFrom(comparison.bucketDigests());
    ConfigurationState sent = sendItems(state, from, comparison.identifier(), differing, effects);
    boolean busy =
        state.seed() == NO_SEED
            || time.isBefore(state.peers().nextTransfer())
            || state.service().snapshot().status() == SnapshotStatus.READING;
    if (!comparison.replyRequested() || differing.isEmpty() || busy) {
      return sent;
    }
    Duration interval =
        differing.size() > MAXIMUM_SHORT_TRANSFER_BUCKETS
            ? LONG_TRANSFER_INTERVAL
            : settings.comparisonInterval();
    PeerState peers = sent.peers().withNextTransfer(time.plus(interval));
    return sendDigests(sent.withPeers(peers), from, false, effects);
  }

  /**
   * Handles a part of a transfer and merges the transfer as soon as all parts are available. A
   * transfer that does not belong to the latest comparison with its sender is ignored. If too many
   * transfers are incomplete, all of them are discarded.
   */
  ConfigurationState handleTransfer(
      ConfigurationState state,
      HostName from,
      ItemTransfer transfer,
      List<ConfigurationEffect> effects) {
    Long comparison = state.peers().latestComparisons().get(from);
    if (comparison == null || comparison != transfer.comparison()) {
      return state;
    }
    PMap<HostName, PMap<Integer, ItemTransfer>> transfers = state.peers().incompleteTransfers();
    PMap<Integer, ItemTransfer> parts = addPart(transfers.get(from), transfer);
    boolean tooMany =
        !transfers.containsKey(from) && transfers.size() >= MAXIMUM_CONCURRENT_TRANSFERS;
    if (tooMany) {
      return state.withPeers(state.peers().withTransfers(HashTreePMap.empty()));
    }
    if (parts.size() < transfer.parts()) {
      return state.withPeers(state.peers().withTransfers(transfers.plus(from, parts)));
    }
    List<CatalogueEntry> items =
        parts.values().stream().flatMap(part -> part.items().stream()).toList();
    return merger.mergeItems(
        state.withPeers(state.peers().withTransfers(transfers.minus(from))),
        items,
        transfer.mergedThrough(),
        new ChangeSource.Peer(from),
        effects);
  }

  private static PMap<Integer, ItemTransfer> addPart(
      PMap<Integer, ItemTransfer> known, ItemTransfer transfer) {
    boolean sameTransfer =
        known != null
            && known.values().stream()
                .allMatch(
                    part ->
                        part.identifier() == transfer.identifier()
                            && part.parts() == transfer.parts());
    PMap<Integer, ItemTransfer> parts = sameTransfer ? known : HashTreePMap.empty();
    return parts.plus(transfer.part(), transfer);
  }

  /** Sends the digests of this host; only replies with the identifier drawn here are merged. */
  private static ConfigurationState sendDigests(
      ConfigurationState state,
      HostName to,
      boolean replyRequested,
      List<ConfigurationEffect> effects) {
    long identifier = drawIdentifier(state);
    List<Long> bucketDigests = state.catalogue().digests().values();
    effects.add(
        new ConfigurationEffect.Send(
            to, new DigestComparison(identifier, bucketDigests, replyRequested)));
    return state.withPeers(state.peers().withComparison(to, identifier));
  }

  private static long drawIdentifier(ConfigurationState state) {
    return RandomNumbers.derive(state.seed(), STARTUP_FANOUT + state.peers().drawnIdentifiers());
  }

  private static ConfigurationState sendItems(
      ConfigurationState state,
      HostName to,
      long comparison,
      List<Integer> buckets,
      List<ConfigurationEffect> effects) {
    List<CatalogueEntry> items = state.catalogue().itemsIn(new HashSet<>(buckets));
    if (items.isEmpty()) {
      return state;
    }
    List<List<CatalogueEntry>> parts = split(items);
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

  private static List<List<CatalogueEntry>> split(List<CatalogueEntry> items) {
    List<List<CatalogueEntry>> parts = new ArrayList<>();
    List<CatalogueEntry> part = new ArrayList<>();
    int bytes = 0;
    for (CatalogueEntry item : items) {
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
      ConfigurationState state, boolean replyRequested, MonotonicTime time) {
    return new ConfigurationSummary(
        state.mergedThrough(),
        state.catalogue().highestTicketNumber().value(),
        state.catalogue().digests().root(),
        state.contactAge(time),
        state.ready(),
        replyRequested);
  }
}
