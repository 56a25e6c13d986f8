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
 * Merges complete tickets, snapshots and transfers into the catalogue and forwards new tickets to
 * other hosts.
 *
 * <p>Stateless apart from its settings and thread-safe. Nothing is merged partially.
 */
final class CatalogueMerger {

  private final ConfigurationSettings settings;

  CatalogueMerger(ConfigurationSettings settings) {
    this.settings = settings;
  }

  /** Adds a part of a ticket and merges the ticket as soon as all parts are available. */
  ConfigurationState addFragment(
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
        : mergeTicket(
            staged.withStaging(staged.staging().minus(number)),
            complete.get(),
            source,
            time,
            effects);
  }

  /** Merges items that together contain the result of all tickets up to a number. */
  ConfigurationState mergeItems(
      ConfigurationState state,
      List<CatalogueEntry> items,
      long mergedThrough,
      ChangeSource source,
      List<ConfigurationEffect> effects) {
    return merge(
        state.withApplied(state.applied().plusThrough(mergedThrough)), items, source, effects);
  }

  private ConfigurationState mergeTicket(
      ConfigurationState state,
      List<TicketFragment> fragments,
      ChangeSource source,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    TicketNumber number = fragments.get(0).number();
    List<Change> changes =
        fragments.stream().flatMap(fragment -> fragment.changes().stream()).toList();
    Optional<Ticket> ticket = validate(number, changes, effects);
    if (ticket.isEmpty()) {
      return state;
    }
    List<CatalogueEntry> items =
        changes.stream()
            .map(
                change ->
                    new CatalogueEntry(change.key(), new VersionedItem(number, change.item())))
            .toList();
    ConfigurationState recorded =
        state
            .withApplied(state.applied().plus(number.value()))
            .withLog(state.log().plus(fragments));
    List<ConfigurationEffect> mergeEffects = new ArrayList<>();
    ConfigurationState after = merge(recorded, items, source, mergeEffects);
    pushToPeers(after, fragments, source, time, effects);
    effects.addAll(mergeEffects);
    return after;
  }

  private static Optional<Ticket> validate(
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
      List<CatalogueEntry> items,
      ChangeSource source,
      List<ConfigurationEffect> effects) {
    Catalogue merged = state.catalogue();
    List<AppliedChange> applied = new ArrayList<>();
    for (CatalogueEntry item : items) {
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

  private static AppliedChange change(Catalogue before, CatalogueEntry item) {
    Optional<Item> previous =
        Optional.ofNullable(before.items().get(item.key())).flatMap(VersionedItem::item);
    return new AppliedChange(
        item.key(), item.versioned().number(), previous, item.versioned().item());
  }

  /**
   * Forwards a short ticket to a few hosts. For a long ticket only the summary is sent, which
   * starts a comparison.
   */
  private void pushToPeers(
      ConfigurationState state,
      List<TicketFragment> fragments,
      ChangeSource source,
      MonotonicTime time,
      List<ConfigurationEffect> effects) {
    List<HostName> candidates = new ArrayList<>(state.peers().reachablePeers(settings.self()));
    if (source instanceof ChangeSource.Peer peer) {
      candidates.remove(peer.host());
    }
    PeerMessage message =
        TicketLog.isShort(fragments)
            ? fragments.get(0)
            : CatalogueAntiEntropy.summaryOf(state, true, time);
    long seed = state.seed() ^ fragments.get(0).number().value();
    for (int index = 0; index < settings.pushFanout() && !candidates.isEmpty(); index++) {
      HostName host = RandomNumbers.choose(candidates, RandomNumbers.derive(seed, index));
      candidates.remove(host);
      effects.add(new ConfigurationEffect.Send(host, message));
    }
  }
}
