package org.parsleyhead.core.publication;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * A published item or its deletion.
 *
 * <p>Immutable and thread-safe. Of two items with the same key, the one with the higher revision is
 * newer.
 *
 * @param key the key
 * @param revision the revision of the last change of the key
 * @param value the value; empty if the item was deleted
 */
public record PublishedItem(String key, long revision, Optional<String> value) {

  /** Requires all components to be present and the revision not to be negative. */
  public PublishedItem {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNegative(revision, "revision");
    Preconditions.requireNonNull(value, "value");
  }
}
