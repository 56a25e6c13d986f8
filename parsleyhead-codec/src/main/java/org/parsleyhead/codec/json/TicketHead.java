package org.parsleyhead.codec.json;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.Change;

/**
 * The first document of a ticket: the entire ticket, or the number of its parts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the ticket
 * @param parts the number of parts; if it is one, this document contains all changes
 * @param changes the changes in this document
 */
public record TicketHead(TicketNumber number, int parts, List<Change> changes) {

  /** Validates the components and copies the changes. */
  public TicketHead {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(parts, "parts");
    changes = List.copyOf(changes);
  }
}
