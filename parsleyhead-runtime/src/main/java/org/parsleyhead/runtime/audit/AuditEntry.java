package org.parsleyhead.runtime.audit;

import java.time.Instant;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * One line of the audit trail.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sequence the position in the trail of this process, one or more, without gaps
 * @param ticket the number of the ticket
 * @param change what it did to which item
 * @param heardFrom the configuration service or the host that passed the ticket on
 * @param inForceSince the wall clock of this host when the change came into force
 */
public record AuditEntry(
    long sequence,
    TicketNumber ticket,
    AuditChange change,
    String heardFrom,
    Instant inForceSince) {

  /** Checks the parts. */
  public AuditEntry {
    Preconditions.requirePositive(sequence, "sequence");
    Preconditions.requireNonNull(ticket, "ticket");
    Preconditions.requireNonNull(change, "change");
    Preconditions.requireName(heardFrom, "heard_from");
    Preconditions.requireNonNull(inForceSince, "in_force_since");
  }
}
