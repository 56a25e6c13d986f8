package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * How another host takes part in the fleet, as far as this host knows.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member whether it last reported that it knows the members of the fleet
 * @param contested whether it last reported orders of hosts that it is not in contact with
 * @param countedSince since when this host has counted it for majorities
 * @param acknowledgedAt when it last answered, as a member, a heartbeat of this host, so that it
 *     counts this host for majorities; in the distant past if it never did
 */
record HostStanding(
    boolean member, boolean contested, MonotonicTime countedSince, MonotonicTime acknowledgedAt) {

  /** Returns the standing of a host that this host counts from an instant on. */
  static HostStanding unknown(MonotonicTime time) {
    return new HostStanding(false, false, time, new MonotonicTime(Long.MIN_VALUE / 2));
  }

  /** Returns the standing that a host reports of itself. */
  HostStanding withReport(boolean nextMember, boolean nextContested) {
    return new HostStanding(nextMember, nextContested, countedSince, acknowledgedAt);
  }

  HostStanding withAcknowledgement(MonotonicTime time) {
    return new HostStanding(true, false, countedSince, time);
  }
}
