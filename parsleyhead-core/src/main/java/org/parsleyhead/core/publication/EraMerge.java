package org.parsleyhead.core.publication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Decides which items of the current era come into force beside what remains of former eras.
 *
 * <p>Immutable and thread-safe. An item that does not come into force remains in the copy, which is
 * sent to other hosts.
 */
final class EraMerge {

  private final ItemVersions versions;

  EraMerge(ItemVersions versions) {
    this.versions = versions;
  }

  /** What an item of the current era does to what is in force. */
  enum Effect {
    /** It changes what is in force. */
    CHANGE,
    /** It confirms what is in force. */
    CONFIRMATION,
    /** It does not come into force. */
    NONE
  }

  /**
   * The decision about an item.
   *
   * <p>Immutable and thread-safe.
   *
   * @param era the era after it
   * @param effect what the item does
   */
  record Decision(StoreEra era, Effect effect) {}

  /**
   * Changes of what is in force.
   *
   * <p>Immutable and thread-safe.
   *
   * @param era the era after them
   * @param items the changed items, deletions included
   */
  record Changes(StoreEra era, List<PublishedItem> items) {

    /** Copies the list. */
    Changes {
      items = List.copyOf(items);
    }
  }

  /**
   * Decides about an item that the copy has taken.
   *
   * @param known what the copy had for its key
   */
  Decision take(StoreEra era, Optional<PublishedItem> known, PublishedItem item) {
    FormerItem former = era.former().get(item.key());
    if (former == null) {
      return new Decision(withRemoval(era, known, item), Effect.CHANGE);
    }
    if (!former.replacedBy(item, era.wrote(item), versions)) {
      return new Decision(era, Effect.NONE);
    }
    StoreEra next = era.withFormer(era.former().minus(item.key()));
    boolean changed = !former.item().value().equals(item.value());
    return new Decision(
        withRemoval(next, Optional.of(former.item()), item),
        changed ? Effect.CHANGE : Effect.CONFIRMATION);
  }

  /** Returns the era after an item came into force: a deletion is remembered with its version. */
  private StoreEra withRemoval(StoreEra era, Optional<PublishedItem> inForce, PublishedItem item) {
    RemovedItems removed = era.removed();
    return era.withRemoved(
        item.value().isPresent()
            ? removed.without(item.key())
            : removed.with(
                item.key(),
                inForce.filter(last -> last.value().isPresent()).flatMap(versions::of)));
  }

  /**
   * Takes what remains of former eras on another host.
   *
   * @param copy what remains there
   * @param learnedAt when the confirmation time began; empty if it has ended
   * @param items the copy of the items of the current era
   */
  Changes takeFormer(
      StoreEra era,
      FormerCopy copy,
      Optional<MonotonicTime> learnedAt,
      PMap<String, PublishedItem> items) {
    List<PublishedItem> changed = new ArrayList<>();
    PMap<String, FormerItem> kept = HashTreePMap.empty();
    RemovedItems removed = era.removed();
    for (FormerItem former : copy.items()) {
      String key = former.item().key();
      PublishedItem current = items.get(key);
      if (current == null || !former.replacedBy(current, era.wrote(current), versions)) {
        kept = kept.plus(key, former);
        removed = removed.with(key, former.removedVersion());
        if (current != null || !former.isRemoved()) {
          changed.add(former.item());
        }
      }
    }
    return new Changes(era.withFormerOf(kept, learnedAt).withRemoved(removed), changed);
  }

  /**
   * Ends the confirmation time: what the store has not shown again is deleted, and what it shows
   * with other contents is taken, unless its own version proves it older.
   *
   * @param items the copy of the items of the current era
   * @param revision the revision up to which the copy is complete
   */
  Changes confirm(StoreEra era, PMap<String, PublishedItem> items, long revision) {
    List<PublishedItem> changed = new ArrayList<>();
    PMap<String, FormerItem> kept = era.former();
    RemovedItems removed = era.removed();
    for (FormerItem former : era.former().values()) {
      String key = former.item().key();
      PublishedItem current = items.get(key);
      if (current != null && former.outlastsConfirmation(current, versions)) {
        continue;
      }
      kept = kept.minus(key);
      if (current != null) {
        changed.add(current);
      } else if (!former.isRemoved()) {
        changed.add(new PublishedItem(key, era.number(), revision, Optional.empty()));
        removed = removed.with(key, versions.of(former.item()));
      }
    }
    return new Changes(era.withFormer(kept).withRemoved(removed).confirmed(), changed);
  }
}
