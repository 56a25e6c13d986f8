package org.parsleyhead.core.publication;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * A published item or its deletion.
 *
 * <p>Immutable and thread-safe. Of two items with the same key, the one with the higher era and
 * revision was written later. A store that was restored from a copy assigns revisions again, so
 * that they are comparable only within an era.
 *
 * @param key the key
 * @param era the era of the store; 0 for a store that states none
 * @param revision the revision of the last change of the key
 * @param value the value; empty if the item was deleted
 */
public record PublishedItem(String key, long era, long revision, Optional<String> value) {

  /** Requires all components to be present and the numbers not to be negative. */
  public PublishedItem {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNegative(era, "era");
    Preconditions.requireNonNegative(revision, "revision");
    Preconditions.requireNonNull(value, "value");
  }

  /** Creates an item of a store that states no era. */
  public PublishedItem(String key, long revision, Optional<String> value) {
    this(key, 0, revision, value);
  }

  /** Returns whether this item has a higher era, or the same era and a higher revision. */
  boolean isNewerThan(PublishedItem other) {
    return era != other.era ? era > other.era : revision > other.revision;
  }
}
