package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Another host as this one knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint where it is reached; its identity
 * @param incarnation the run that was last heard of; -1 if it was never heard
 * @param heardAt when it was last heard, or when it became known
 * @param alive whether it is taken to be alive
 * @param nextHeartbeatAt when it gets the next heartbeat
 * @param capacityPercent its processor share, in hundredths of a core; 0 if unknown
 * @param held the instances whose lease it says to hold
 * @param leaving whether its process has said that it is about to stop; it still votes
 */
record HostView(
    String endpoint,
    long incarnation,
    MonotonicTime heardAt,
    boolean alive,
    MonotonicTime nextHeartbeatAt,
    int capacityPercent,
    List<String> held,
    boolean leaving) {

  static final long NEVER_HEARD = -1;

  static HostView unheard(String endpoint, MonotonicTime time) {
    return new HostView(endpoint, NEVER_HEARD, time, false, time, 0, List.of(), false);
  }

  HostView dueAt(MonotonicTime time) {
    return new HostView(
        endpoint, incarnation, heardAt, alive, time, capacityPercent, held, leaving);
  }

  /** Returns this host after another one told when it was heard. */
  HostView relayed(MonotonicTime time, boolean recently) {
    return heardAt.isBefore(time)
        ? new HostView(
            endpoint,
            incarnation,
            time,
            alive || recently && !leaving,
            nextHeartbeatAt,
            capacityPercent,
            held,
            leaving)
        : this;
  }

  /** Returns this host after a message of it; a run that is about to stop stays out of use. */
  HostView heard(long run, MonotonicTime time) {
    boolean leaves = leaving && run == incarnation;
    return new HostView(
        endpoint, run, time, !leaves, nextHeartbeatAt, capacityPercent, held, leaves);
  }

  /** Returns this host after it said that its process is about to stop. */
  HostView left(long run, MonotonicTime time) {
    return new HostView(
        endpoint, run, time, false, nextHeartbeatAt, capacityPercent, List.of(), true);
  }

  /** Tells whether requests of this host may run: it is alive, or it finishes its last ones. */
  boolean inUse() {
    return alive || leaving;
  }

  HostView withHeld(List<String> instances) {
    return new HostView(
        endpoint,
        incarnation,
        heardAt,
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
            endpoint, incarnation, heardAt, alive, nextHeartbeatAt, percent, held, leaving);
  }

  HostView silent() {
    return new HostView(
        endpoint, incarnation, heardAt, false, nextHeartbeatAt, capacityPercent, List.of(), false);
  }

  HostView heartbeatSent(MonotonicTime next) {
    return new HostView(
        endpoint, incarnation, heardAt, alive, next, capacityPercent, held, leaving);
  }
}
