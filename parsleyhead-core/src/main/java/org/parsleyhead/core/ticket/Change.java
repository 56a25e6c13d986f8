package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * One change of a ticket: the complete new state of one item, or its deletion.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key of the changed item
 * @param item the new state; empty if the item is deleted
 */
public record Change(ItemKey key, Optional<Item> item) {

  /** Validates that the item has the key of the change. */
  public Change {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(item, "item");
    Preconditions.require(
        item.isEmpty() || item.get().key().equals(key), "item", "must have the key of the change");
  }

  /** Returns a change that creates or replaces an item. */
  public static Change put(Item item) {
    return new Change(item.key(), Optional.of(item));
  }

  /** Returns a change that deletes an item. */
  public static Change delete(ItemKey key) {
    return new Change(key, Optional.empty());
  }
}
