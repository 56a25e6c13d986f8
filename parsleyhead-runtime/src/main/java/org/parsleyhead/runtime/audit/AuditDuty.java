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
 * The duty that keeps the audit trail and writes each entry as an event line.
 *
 * <p>Thread-safe. A full ring refuses an event: it is counted among the refusals of the ring, a
 * warning names the ticket, and the change itself stays in force. Of an event with more changes
 * than the trail keeps, only the last ones are written.
 */
public final class AuditDuty implements AutoCloseable {

  /** How many entries a host keeps. */
  public static final int TRAIL_CAPACITY_ENTRIES = 4_096;

  /** How many tickets may wait for the duty. */
  public static final int RING_CAPACITY_EVENTS = 1_024;

  private static final String RING_NAME = "audit";
  private static final Duration TICK_INTERVAL = Duration.ofMinutes(1);
  private static final AuditEvent TICK =
      new AuditEvent(TicketNumber.NONE, "tick", Instant.EPOCH, List.of());

  private final Duty<AuditTrail, AuditEvent, AuditEntry> duty;
  private final EventLog log;

  /** Creates a duty that is not yet started. */
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

  /** Hands an event to the duty; returns at once. */
  public void record(AuditEvent event) {
    if (!duty.ring().offer(event)) {
      log.warning("audit_refused", "ticket", event.ticket(), "changes", event.changes().size());
    }
  }

  /** Returns the trail as it is now. */
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
        entry.heardFrom(),
        "in_force_since",
        entry.inForceSince());
  }
}
