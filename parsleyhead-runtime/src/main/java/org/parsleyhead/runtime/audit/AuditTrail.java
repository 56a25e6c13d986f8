package org.parsleyhead.runtime.audit;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The most recent changes applied on this host, up to a fixed number.
 *
 * <p>Immutable and thread-safe. Sequence numbers have no gaps; the oldest entries are evicted
 * first.
 */
public final class AuditTrail {

  private final int capacity;
  private final long lastSequence;
  private final PVector<AuditEntry> entries;

  private AuditTrail(int capacity, long lastSequence, PVector<AuditEntry> entries) {
    this.capacity = capacity;
    this.lastSequence = lastSequence;
    this.entries = entries;
  }

  /** Returns an empty trail that keeps up to a number of entries. */
  public static AuditTrail empty(int capacity) {
    Preconditions.requirePositive(capacity, "capacity");
    return new AuditTrail(capacity, 0, TreePVector.empty());
  }

  /** Returns the trail extended by one entry for each change of an event. */
  public AuditTrail append(AuditEvent event) {
    PVector<AuditEntry> extended = entries;
    long sequence = lastSequence;
    for (AuditChange change : event.changes()) {
      sequence++;
      extended =
          extended.plus(
              new AuditEntry(sequence, event.ticket(), change, event.source(), event.appliedAt()));
      if (extended.size() > capacity) {
        extended = extended.minus(0);
      }
    }
    return new AuditTrail(capacity, sequence, extended);
  }

  /** Returns the kept entries that follow a sequence number, oldest first. */
  public List<AuditEntry> since(long sequence) {
    long newer = lastSequence - Math.max(0, sequence);
    int count = (int) Math.min(entries.size(), Math.max(0, newer));
    return List.copyOf(new ArrayList<>(entries.subList(entries.size() - count, entries.size())));
  }

  /** Returns the sequence number of the last entry, zero if there was none yet. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Returns the sequence number of the oldest kept entry, one if there was none yet. */
  public long firstSequence() {
    return lastSequence - entries.size() + 1;
  }
}
