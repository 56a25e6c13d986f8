package org.parsleyhead.core.publication;

import java.util.Optional;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.core.api.Preconditions;

/**
 * What was in force for a key when the era of the store increased.
 *
 * <p>Immutable and thread-safe. It stays in force until the store shows something newer. The
 * revisions of two eras are not comparable: the restored copy assigns the same ones again.
 *
 * @param item the item; its deletion if it was deleted
 * @param removedVersion the last known version of a deleted item; empty for others
 */
public record FormerItem(PublishedItem item, Optional<ItemVersion> removedVersion) {

  /** Requires all components to be present, and the version for a deletion alone. */
  public FormerItem {
    Preconditions.requireNonNull(item, "item");
    Preconditions.requireNonNull(removedVersion, "removedVersion");
    if (item.value().isPresent() == removedVersion.isPresent()) {
      throw new InvalidValueException("removedVersion", "must belong to a deletion");
    }
  }

  static FormerItem present(PublishedItem item) {
    return new FormerItem(item, Optional.empty());
  }

  static FormerItem removed(PublishedItem deletion, ItemVersion version) {
    return new FormerItem(deletion, Optional.of(version));
  }

  boolean isRemoved() {
    return item.value().isEmpty();
  }

  Optional<ItemVersion> version(ItemVersions versions) {
    return isRemoved() ? removedVersion : versions.of(item);
  }

  /**
   * Returns whether an item of the current era replaces this one.
   *
   * @param current the item of the current era
   * @param writtenInEra whether it is certain that it was written since the store was restored;
   *     otherwise it may be older than this one
   */
  boolean replacedBy(PublishedItem current, boolean writtenInEra, ItemVersions versions) {
    if (current.value().isEmpty() || current.value().equals(item.value())) {
      return true;
    }
    Optional<ItemVersion> known = version(versions);
    Optional<ItemVersion> shown = versions.of(current);
    if (known.isEmpty() || shown.isEmpty()) {
      return isRemoved() || writtenInEra;
    }
    int order = shown.get().compareTo(known.get());
    return order > 0 || order == 0 && !isRemoved() && writtenInEra;
  }

  /**
   * Returns whether an older item of the current era is ignored for as long as the store has it,
   * also after the confirmation time: versions never go back, and a removed run stays removed.
   */
  boolean outlastsConfirmation(PublishedItem current, ItemVersions versions) {
    Optional<ItemVersion> known = version(versions);
    Optional<ItemVersion> shown = versions.of(current);
    return known.isPresent()
        && shown.isPresent()
        && shown.get().compareTo(known.get()) < (isRemoved() ? 1 : 0);
  }
}
