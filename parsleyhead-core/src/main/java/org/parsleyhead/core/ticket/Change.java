package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * One line of a ticket: the whole new state of one item, or its deletion.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the item that is touched
 * @param item its new state; empty if it is deleted
 */
public record Change(ItemKey key, Optional<Item> item) {

  /** Checks that the item has the key. */
  public Change {
    Preconditions.requireNonNull(key, "key");
    Preconditions.requireNonNull(item, "item");
    Preconditions.require(
        item.isEmpty() || item.get().key().equals(key), "item", "must have the key of the change");
  }

  /** Returns the change that gives an item a new state. */
  public static Change put(Item item) {
    return new Change(item.key(), Optional.of(item));
  }

  /** Returns the change that deletes an item. */
  public static Change delete(ItemKey key) {
    return new Change(key, Optional.empty());
  }
}
