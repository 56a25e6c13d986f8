package org.parsleyhead.runtime.audit;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * The duty that keeps the audit trail and logs each entry.
 *
 * <p>Thread-safe. When the ring is full, an event is rejected: it counts as a rejection of the ring
 * and a warning names the ticket, but the change itself remains applied. If an event has more
 * changes than the trail can hold, only the last ones are logged.
 */
public final class AuditDuty implements AutoCloseable {

  /** Maximum number of entries in the trail of a host. */
  public static final int TRAIL_CAPACITY_ENTRIES = 4_096;

  /** Maximum number of pending events, one for each ticket. */
  public static final int RING_CAPACITY_EVENTS = 1_024;

  private static final String RING_NAME = "audit";
  private static final Duration TICK_INTERVAL = Duration.ofMinutes(1);
  private static final AuditEvent TICK =
      new AuditEvent(TicketNumber.NONE, "tick", Instant.EPOCH, List.of());

  private final Duty<AuditTrail, AuditEvent, AuditEntry> duty;
  private final EventLog log;

  /** Creates a duty that is not started yet. */
  public AuditDuty(MonotonicClock clock, EventLog log) {
    this.log = log;
    this.duty =
        new Duty<>(
            new Ring<>(RING_NAME, RING_CAPACITY_EVENTS),
            AuditTrail.empty(TRAIL_CAPACITY_ENTRIES),
            AuditDuty::append,
            this::write,
            () -> TICK,
            TICK_INTERVAL,
            clock,
            failure -> log.failure("audit_failed", failure));
  }

  /** Starts the thread. */
  public void start() {
    duty.start();
  }

  /** Submits an event without blocking; logs a warning if the ring is full. */
  public void record(AuditEvent event) {
    if (!duty.ring().offer(event)) {
      log.warning("audit_refused", "ticket", event.ticket(), "changes", event.changes().size());
    }
  }

  /** Returns the current trail. */
  public AuditTrail trail() {
    return duty.state();
  }

  /** Returns the ring, for its metrics. */
  public Ring<AuditEvent> ring() {
    return duty.ring();
  }

  @Override
  public void close() {
    duty.close();
  }

  static Step<AuditTrail, AuditEntry> append(
      AuditTrail trail, AuditEvent event, MonotonicTime time) {
    AuditTrail appended = trail.append(event);
    return new Step<>(appended, appended.since(trail.lastSequence()));
  }

  private void write(AuditEntry entry) {
    log.info(
        "change_in_force",
        "sequence",
        entry.sequence(),
        "ticket",
        entry.ticket(),
        "item",
        entry.change().item(),
        "action",
        entry.change().action().text(),
        "heard_from",
        entry.source(),
        "in_force_since",
        entry.appliedAt());
  }
}
