package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * A change ticket: the whole new state of everything it touches.
 *
 * <p>Immutable and thread-safe. No item is touched twice.
 *
 * @param number the number of the ticket, one or more
 * @param changes the changes
 */
public record Ticket(TicketNumber number, List<Change> changes) {

  /** Checks and copies the changes. */
  public Ticket {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(number.value(), "number");
    changes = List.copyOf(changes);
    long distinct = changes.stream().map(Change::key).distinct().count();
    Preconditions.require(distinct == changes.size(), "changes", "must touch each item once");
  }
}
