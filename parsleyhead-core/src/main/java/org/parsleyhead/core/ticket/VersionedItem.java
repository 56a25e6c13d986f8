package org.parsleyhead.core.ticket;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The state of an item with the number of the latest ticket that changed it.
 *
 * <p>Immutable and thread-safe. A deleted item remains as a tombstone.
 *
 * @param number the number of the latest ticket that changed the item
 * @param item the state of the item; empty if it was deleted
 */
public record VersionedItem(TicketNumber number, Optional<Item> item) {

  /** Validates the components. */
  public VersionedItem {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requireNonNull(item, "item");
  }
}
