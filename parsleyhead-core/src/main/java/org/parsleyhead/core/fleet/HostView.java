package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Another host as seen by this one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint at which it receives messages; its identity
 * @param incarnation the incarnation that sent the last message; -1 if none was received
 * @param lastSeenAt when it was last in contact with this host or, by their reports, with another
 *     one; the time of discovery before that
 * @param alive whether it is considered alive
 * @param nextHeartbeatAt when the next heartbeat to it is due
 * @param capacityPercent its processor share, in hundredths of a core; 0 if unknown
 * @param heldInstances the instances whose lease it reports holding
 * @param leaving whether its process has announced that it is about to stop; it still votes
 */
record HostView(
    String endpoint,
    long incarnation,
    MonotonicTime lastSeenAt,
    boolean alive,
    MonotonicTime nextHeartbeatAt,
    int capacityPercent,
    List<String> heldInstances,
    boolean leaving) {

  static final long UNKNOWN_INCARNATION = -1;

  static HostView discovered(String endpoint, MonotonicTime time) {
    return new HostView(endpoint, UNKNOWN_INCARNATION, time, false, time, 0, List.of(), false);
  }

  HostView withNextHeartbeatAt(MonotonicTime time) {
    return new HostView(
        endpoint, incarnation, lastSeenAt, alive, time, capacityPercent, heldInstances, leaving);
  }

  /** Returns this host after another one reported its last contact with it. */
  HostView withReportedContact(MonotonicTime time, boolean recently) {
    return lastSeenAt.isBefore(time)
        ? new HostView(
            endpoint,
            incarnation,
            time,
            alive || recently && !leaving,
            nextHeartbeatAt,
            capacityPercent,
            heldInstances,
            leaving)
        : this;
  }

  /**
   * Returns this host after a message from it; an incarnation that has announced its stop is not
   * considered alive again.
   */
  HostView withContact(long newIncarnation, MonotonicTime time) {
    boolean stillLeaving = leaving && newIncarnation == incarnation;
    return new HostView(
        endpoint,
        newIncarnation,
        time,
        !stillLeaving,
        nextHeartbeatAt,
        capacityPercent,
        heldInstances,
        stillLeaving);
  }

  /** Returns this host after it announced that its process is about to stop. */
  HostView asLeaving(long newIncarnation, MonotonicTime time) {
    return new HostView(
        endpoint, newIncarnation, time, false, nextHeartbeatAt, capacityPercent, List.of(), true);
  }

  /**
   * Returns whether requests of this host may run: it is alive, or finishes its last requests
   * before it stops.
   */
  boolean mayRunRequests() {
    return alive || leaving;
  }

  HostView withHeldInstances(List<String> instances) {
    return new HostView(
        endpoint,
        incarnation,
        lastSeenAt,
        alive,
        nextHeartbeatAt,
        capacityPercent,
        instances,
        leaving);
  }

  HostView withCapacity(int percent) {
    return percent == 0
        ? this
        : new HostView(
            endpoint,
            incarnation,
            lastSeenAt,
            alive,
            nextHeartbeatAt,
            percent,
            heldInstances,
            leaving);
  }

  HostView asSilent() {
    return new HostView(
        endpoint,
        incarnation,
        lastSeenAt,
        false,
        nextHeartbeatAt,
        capacityPercent,
        List.of(),
        false);
  }

  HostView withHeartbeatSent(MonotonicTime next) {
    return new HostView(
        endpoint, incarnation, lastSeenAt, alive, next, capacityPercent, heldInstances, leaving);
  }
}
