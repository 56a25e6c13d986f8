package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Another host as seen by this one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identity its endpoint
 * @param incarnations the processes of the host that sent messages
 * @param lastSeenAt when it was last in contact with this host or, by their reports, with another
 *     one; the time of discovery before that
 * @param alive whether it is considered alive
 * @param exchange the heartbeats between it and this host
 * @param capacityPercent its processor share, in hundredths of a core; 0 if unknown
 * @param heldInstances the instances whose lease it reports holding
 * @param leaving whether its process has announced that it is about to stop; it still votes
 * @param standing how it takes part in the fleet
 */
record HostView(
    HostIdentity identity,
    Incarnations incarnations,
    MonotonicTime lastSeenAt,
    boolean alive,
    HeartbeatExchange exchange,
    int capacityPercent,
    List<String> heldInstances,
    boolean leaving,
    HostStanding standing) {

  static HostView discovered(String endpoint, MonotonicTime time) {
    return new HostView(
        HostIdentity.of(endpoint),
        Incarnations.NONE,
        time,
        false,
        HeartbeatExchange.due(time),
        0,
        List.of(),
        false,
        HostStanding.unknown(time));
  }

  String endpoint() {
    return identity.endpoint();
  }

  HostView withExchange(HeartbeatExchange next) {
    return new HostView(
        identity,
        incarnations,
        lastSeenAt,
        alive,
        next,
        capacityPercent,
        heldInstances,
        leaving,
        standing);
  }

  /** Returns this host after another one reported its last contact with it. */
  HostView withReportedContact(MonotonicTime time, boolean recently, boolean member) {
    return lastSeenAt.isBefore(time)
        ? new HostView(
            identity,
            incarnations,
            time,
            alive || recently && !leaving,
            exchange,
            capacityPercent,
            heldInstances,
            leaving,
            standing.withReport(member, standing.contested()))
        : this;
  }

  /**
   * Returns this host after a message from it; an incarnation that has announced its stop is not
   * considered alive again.
   */
  HostView withContact(long newIncarnation, MonotonicTime time) {
    boolean stillLeaving = leaving && newIncarnation == incarnations.current();
    return new HostView(
        identity,
        incarnations.with(newIncarnation),
        time,
        !stillLeaving,
        exchange,
        capacityPercent,
        heldInstances,
        stillLeaving,
        standing);
  }

  /** Returns this host after it announced that its process is about to stop. */
  HostView asLeaving(long newIncarnation, MonotonicTime time) {
    return new HostView(
        identity,
        incarnations.with(newIncarnation),
        time,
        false,
        exchange,
        capacityPercent,
        List.of(),
        true,
        standing);
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
        identity,
        incarnations,
        lastSeenAt,
        alive,
        exchange,
        capacityPercent,
        instances,
        leaving,
        standing);
  }

  HostView withCapacity(int percent) {
    return percent == 0
        ? this
        : new HostView(
            identity,
            incarnations,
            lastSeenAt,
            alive,
            exchange,
            percent,
            heldInstances,
            leaving,
            standing);
  }

  /** Returns this host after its heartbeat timeout, counted from the last contact. */
  HostView asSilent(MonotonicTime lastContact) {
    return new HostView(
        identity,
        incarnations,
        lastContact,
        false,
        exchange,
        capacityPercent,
        List.of(),
        false,
        standing);
  }

  HostView withStanding(HostStanding next) {
    return new HostView(
        identity,
        incarnations,
        lastSeenAt,
        alive,
        exchange,
        capacityPercent,
        heldInstances,
        leaving,
        next);
  }
}
