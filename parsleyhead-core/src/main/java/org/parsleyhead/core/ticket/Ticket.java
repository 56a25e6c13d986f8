package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * A change ticket: the complete new state of each item that it changes.
 *
 * <p>Immutable and thread-safe. No item is changed twice.
 *
 * @param number the number of the ticket, starting at 1
 * @param changes the changes, at most one per item
 */
public record Ticket(TicketNumber number, List<Change> changes) {

  /** Validates the components and copies the changes. */
  public Ticket {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(number.value(), "number");
    changes = List.copyOf(changes);
    long distinct = changes.stream().map(Change::key).distinct().count();
    Preconditions.require(
        distinct == changes.size(), "changes", "must change each item at most once");
  }
}
