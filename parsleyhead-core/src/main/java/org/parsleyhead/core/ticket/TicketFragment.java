package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * One part of a ticket as it was published, read from the service or received from another host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the ticket
 * @param part the number of the part, starting at 1
 * @param parts the number of parts of the ticket
 * @param changes the changes in this part
 */
public record TicketFragment(TicketNumber number, int part, int parts, List<Change> changes)
    implements PeerMessage {

  /** The maximum number of parts of a ticket. */
  public static final int MAXIMUM_PARTS = 256;

  /** Validates the components and copies the collections. */
  public TicketFragment {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(number.value(), "number");
    Preconditions.require(parts >= 1 && parts <= MAXIMUM_PARTS, "parts", "is out of range");
    Preconditions.require(part >= 1 && part <= parts, "part", "is out of range");
    changes = List.copyOf(changes);
  }

  /** Returns the single fragment that contains a complete ticket. */
  public static TicketFragment whole(Ticket ticket) {
    return new TicketFragment(ticket.number(), 1, 1, ticket.changes());
  }
}
