package org.parsleyhead.runtime.audit;

import java.util.List;

/**
 * A part of a host's audit trail, as the host gave it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstSequence the oldest entry that the host keeps
 * @param lastSequence the last entry of the host, zero before the first
 * @param entries the entries that were asked for, oldest first
 */
public record AuditExcerpt(long firstSequence, long lastSequence, List<AuditEntry> entries) {

  /** Copies the entries. */
  public AuditExcerpt {
    entries = List.copyOf(entries);
  }

  /** Returns the kept entries of a trail behind a sequence number. */
  public static AuditExcerpt of(AuditTrail trail, long since) {
    return new AuditExcerpt(trail.firstSequence(), trail.lastSequence(), trail.since(since));
  }
}
