package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.membership.RandomNumbers;

/**
 * Merges whole tickets, snapshots and transfers into the catalogue and passes new tickets on.
 *
 * <p>Stateless apart from its settings and thread-safe. Nothing comes into force by halves.
 */
final class Merging {

  private final ConfigurationSettings settings;

  Merging(ConfigurationSettings settings) {
    this.settings = settings;
  }

  /** Takes up a part of a ticket; merges the ticket if it is now complete. */
  ConfigurationState fragment(
      ConfigurationState state,
      TicketFragment fragment,
      ChangeSource source,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    long number = fragment.number().value();
    if (state.applied().contains(number)) {
      return state;
    }
    ConfigurationState staged = state.withStaging(state.staging().plus(fragment));
    Optional<List<TicketFragment>> complete = staged.staging().complete(number);
    return complete.isEmpty()
        ? staged
        : ticket(
            staged.withStaging(staged.staging().minus(number)),
            complete.get(),
            source,
            time,
            effects);
  }

  /** Merges items that together bring all tickets up to a number. */
  ConfigurationState items(
      ConfigurationState state,
      List<HeardItem> items,
      long mergedThrough,
      ChangeSource source,
      List<ConfigurationEffect> effects) {
    return merge(
        state.withApplied(state.applied().plusThrough(mergedThrough)), items, source, effects);
  }

  private ConfigurationState ticket(
      ConfigurationState state,
      List<TicketFragment> fragments,
      ChangeSource source,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    TicketNumber number = fragments.get(0).number();
    List<Change> changes =
        fragments.stream().flatMap(fragment -> fragment.changes().stream()).toList();
    Optional<Ticket> ticket = valid(number, changes, effects);
    if (ticket.isEmpty()) {
      return state;
    }
    List<HeardItem> items =
        changes.stream()
            .map(change -> new HeardItem(change.key(), new VersionedItem(number, change.item())))
            .toList();
    ConfigurationState noted =
        state
            .withApplied(state.applied().plus(number.value()))
            .withLog(state.log().plus(fragments));
    List<ConfigurationEffect> merged = new ArrayList<>();
    ConfigurationState after = merge(noted, items, source, merged);
    tellOthers(after, fragments, source, time, effects);
    effects.addAll(merged);
    return after;
  }

  private static Optional<Ticket> valid(
      TicketNumber number, List<Change> changes, List<ConfigurationEffect> effects) {
    try {
      return Optional.of(new Ticket(number, changes));
    } catch (InvalidValueException exception) {
      effects.add(new ConfigurationEffect.TicketRefused(number.value(), exception.getMessage()));
      return Optional.empty();
    }
  }

  private static ConfigurationState merge(
      ConfigurationState state,
      List<HeardItem> items,
      ChangeSource source,
      List<ConfigurationEffect> effects) {
    Catalogue merged = state.catalogue();
    List<AppliedChange> applied = new ArrayList<>();
    for (HeardItem item : items) {
      Catalogue next = merged.merge(item.key(), item.versioned());
      if (next != merged) {
        applied.add(change(merged, item));
        merged = next;
      }
    }
    if (!applied.isEmpty()) {
      effects.add(
          new ConfigurationEffect.CatalogueChanged(merged, state.mergedThrough(), source, applied));
    }
    return state.withCatalogue(merged);
  }

  private static AppliedChange change(Catalogue before, HeardItem item) {
    Optional<Item> former =
        Optional.ofNullable(before.items().get(item.key())).flatMap(VersionedItem::item);
    return new AppliedChange(
        item.key(), item.versioned().number(), former, item.versioned().item());
  }

  /** Passes a short ticket on to a few hosts; of a long one only the summary, to compare with. */
  private void tellOthers(
      ConfigurationState state,
      List<TicketFragment> fragments,
      ChangeSource source,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    List<HostName> candidates = new ArrayList<>(state.peers().others(settings.self()));
    if (source instanceof ChangeSource.Peer peer) {
      candidates.remove(peer.host());
    }
    PeerMessage news =
        TicketLog.isShort(fragments) ? fragments.get(0) : PeerExchange.summaryOf(state, true, time);
    long seed = state.seed() ^ fragments.get(0).number().value();
    for (int index = 0; index < settings.pushFanout() && !candidates.isEmpty(); index++) {
      HostName host = RandomNumbers.choose(candidates, RandomNumbers.derive(seed, index));
      candidates.remove(host);
      effects.add(new ConfigurationEffect.Send(host, news));
    }
  }
}
