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
 * <p>Confined to one step of {@link PublicationTransition}. An item that does not come into force
 * remains in the copy, which is sent to other hosts.
 */
final class EraMerge {

  private final ItemVersions versions;
  private final List<String> outdated = new ArrayList<>();
  private StoreEra era;

  EraMerge(StoreEra era, ItemVersions versions) {
    this.era = era;
    this.versions = versions;
  }

  /** Returns the era after the decisions. */
  StoreEra result() {
    return era;
  }

  /** Returns the keys of the items that did not come into force. */
  List<String> outdated() {
    return List.copyOf(outdated);
  }

  /**
   * Decides about an item that the copy has taken.
   *
   * @param known what the copy had for its key
   * @param item the item
   * @return whether the item changes what is in force
   */
  boolean takes(Optional<PublishedItem> known, PublishedItem item) {
    FormerItem former = era.former().get(item.key());
    if (former != null && !former.replacedBy(item, era.wrote(item), versions)) {
      outdated.add(item.key());
      return false;
    }
    if (former != null) {
      era = era.withFormer(era.former().minus(item.key()));
    }
    Optional<PublishedItem> inForce = former == null ? known : Optional.of(former.item());
    if (item.value().isPresent()) {
      era = era.withRemoved(era.removed().without(item.key()));
    } else if (former == null || !former.isRemoved()) {
      era = era.withRemoved(era.removed().with(item.key(), inForce.flatMap(versions::of)));
    }
    return former == null || !former.item().value().equals(item.value());
  }

  /**
   * Takes what remains of former eras on another host.
   *
   * @param copy what remains there
   * @param learnedAt when the confirmation time began; empty if it has ended
   * @param items the copy of the items of the current era
   * @return the changes of what is in force
   */
  List<PublishedItem> takeFormer(
      FormerCopy copy, Optional<MonotonicTime> learnedAt, PMap<String, PublishedItem> items) {
    List<PublishedItem> changed = new ArrayList<>();
    PMap<String, FormerItem> kept = HashTreePMap.empty();
    for (FormerItem former : copy.items()) {
      String key = former.item().key();
      PublishedItem current = items.get(key);
      if (current == null || !former.replacedBy(current, era.wrote(current), versions)) {
        kept = kept.plus(key, former);
        era = era.withRemoved(era.removed().with(key, former.removedVersion()));
        if (current != null || !former.isRemoved()) {
          changed.add(former.item());
        }
      }
    }
    era = era.withFormerOf(kept, learnedAt);
    return changed;
  }

  /**
   * Ends the confirmation time: what the store has not shown again is deleted, and what it shows
   * with other contents is taken, unless its own version proves it older.
   *
   * @param items the copy of the items of the current era
   * @param revision the revision up to which the copy is complete
   * @return the changes of what is in force
   */
  List<PublishedItem> confirm(PMap<String, PublishedItem> items, long revision) {
    List<PublishedItem> changed = new ArrayList<>();
    PMap<String, FormerItem> kept = era.former();
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
        era = era.withRemoved(era.removed().with(key, versions.of(former.item())));
      }
    }
    era = era.withFormer(kept).confirmed();
    return changed;
  }
}
