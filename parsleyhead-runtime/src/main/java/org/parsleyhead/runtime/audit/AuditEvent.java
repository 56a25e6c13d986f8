package org.parsleyhead.runtime.audit;

import java.time.Instant;
import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The changes of one ticket that this host applied together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ticket the number of the ticket
 * @param source {@code service} or the name of the host from which this host received the ticket
 * @param appliedAt the wall-clock time at which this host applied the changes
 * @param changes the changes
 */
public record AuditEvent(
    TicketNumber ticket, String source, Instant appliedAt, List<AuditChange> changes) {

  /** Requires all components and copies the changes. */
  public AuditEvent {
    Preconditions.requireNonNull(ticket, "ticket");
    Preconditions.requireName(source, "heard_from");
    Preconditions.requireNonNull(appliedAt, "in_force_since");
    changes = List.copyOf(changes);
  }
}
