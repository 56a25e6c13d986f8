package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * An item with the number of the last ticket that touched it.
 *
 * <p>Immutable and thread-safe. A deleted item is kept as a tombstone.
 *
 * @param number the number of the last ticket that touched the item
 * @param item the state of the item; empty if it was deleted
 */
public record VersionedItem(TicketNumber number, Optional<Item> item) {

  /** Checks the parts. */
  public VersionedItem {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requireNonNull(item, "item");
  }
}
