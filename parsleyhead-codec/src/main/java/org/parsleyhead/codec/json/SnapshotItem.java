package org.parsleyhead.codec.json;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.VersionedItem;

/**
 * One item of a snapshot with the number of the last ticket that touched it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ticket the number of the last ticket that touched the item
 * @param change the state that this ticket gave the item, or its deletion
 */
public record SnapshotItem(TicketNumber ticket, Change change) {

  /** Checks the parts. */
  public SnapshotItem {
    Preconditions.requireNonNull(ticket, "ticket");
    Preconditions.requirePositive(ticket.value(), "ticket");
    Preconditions.requireNonNull(change, "change");
  }

  /** Returns the form in which a catalogue keeps the item. */
  public VersionedItem versionedItem() {
    return new VersionedItem(ticket, change.item());
  }
}
