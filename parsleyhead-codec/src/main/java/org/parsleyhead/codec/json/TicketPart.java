package org.parsleyhead.codec.json;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;

/**
 * One part of a ticket that is too large for a single document.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the ticket
 * @param part the number of the part, starting at one
 * @param changes the changes in this document
 */
public record TicketPart(TicketNumber number, int part, List<Change> changes) {

  /** Validates the components and copies the changes. */
  public TicketPart {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(part, "part");
    changes = List.copyOf(changes);
  }
}
