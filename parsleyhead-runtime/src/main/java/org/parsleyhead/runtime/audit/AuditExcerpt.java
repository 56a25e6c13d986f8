package org.parsleyhead.runtime.audit;

import java.util.List;

/**
 * A part of the audit trail of a host, as returned by the host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstSequence the sequence number of the oldest entry that the host keeps
 * @param lastSequence the sequence number of the host's last entry, zero if there is none
 * @param entries the requested entries, oldest first
 */
public record AuditExcerpt(long firstSequence, long lastSequence, List<AuditEntry> entries) {

  /** Copies the entries. */
  public AuditExcerpt {
    entries = List.copyOf(entries);
  }

  /** Returns the entries of a trail that follow a sequence number. */
  public static AuditExcerpt of(AuditTrail trail, long since) {
    return new AuditExcerpt(trail.firstSequence(), trail.lastSequence(), trail.since(since));
  }
}
