package org.parsleyhead.runtime.audit;

import java.time.Instant;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * One entry of the audit trail.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sequence the sequence number in the trail of this process, starting at one, without gaps
 * @param ticket the number of the ticket
 * @param change the change and the item that it applies to
 * @param source the configuration service or the host from which this host received the ticket
 * @param appliedAt the wall-clock time at which this host applied the change
 */
public record AuditEntry(
    long sequence, TicketNumber ticket, AuditChange change, String source, Instant appliedAt) {

  /** Requires a positive sequence number and all other components. */
  public AuditEntry {
    Preconditions.requirePositive(sequence, "sequence");
    Preconditions.requireNonNull(ticket, "ticket");
    Preconditions.requireNonNull(change, "change");
    Preconditions.requireName(source, "heard_from");
    Preconditions.requireNonNull(appliedAt, "in_force_since");
  }
}
