package org.parsleyhead.runtime.audit;

import java.time.Instant;
import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The changes of one ticket that came into force on this host together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ticket the number of the ticket
 * @param heardFrom {@code service} or the name of the host that passed the ticket on
 * @param inForceSince the wall clock of this host when the changes came into force
 * @param changes the changes
 */
public record AuditEvent(
    TicketNumber ticket, String heardFrom, Instant inForceSince, List<AuditChange> changes) {

  /** Checks and copies the parts. */
  public AuditEvent {
    Preconditions.requireNonNull(ticket, "ticket");
    Preconditions.requireName(heardFrom, "heard_from");
    Preconditions.requireNonNull(inForceSince, "in_force_since");
    changes = List.copyOf(changes);
  }
}
