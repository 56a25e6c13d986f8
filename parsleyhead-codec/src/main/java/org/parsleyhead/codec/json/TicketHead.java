package org.parsleyhead.codec.json;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;

/**
 * The first document of a ticket: all of it, or only the number of its parts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the ticket
 * @param parts how many parts the ticket has; with one, the changes stand here
 * @param changes the changes in this document
 */
public record TicketHead(TicketNumber number, int parts, List<Change> changes) {

  /** Checks and copies the changes. */
  public TicketHead {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(parts, "parts");
    changes = List.copyOf(changes);
  }
}
