package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * When hosts were last in contact with the fleet, as far as this host knows.
 *
 * <p>Immutable and thread-safe. A host that reports the same membership confirms that all live
 * hosts were in contact with it within the heartbeat timeout, so that it need not list them.
 *
 * @param confirmed the last instant at which all live hosts are confirmed to have been in contact
 */
record ContactTimes(MonotonicTime confirmed) {

  static ContactTimes of(FleetState state, FleetSettings settings) {
    MonotonicTime latest = new MonotonicTime(Long.MIN_VALUE / 2);
    for (HostView host : state.hosts().values()) {
      MonotonicTime confirmedAt = host.exchange().confirmedAt();
      if (host.alive() && latest.isBefore(confirmedAt)) {
        latest = confirmedAt;
      }
    }
    return new ContactTimes(latest.minus(settings.heartbeatTimeout()));
  }

  MonotonicTime lastContact(HostView host) {
    return host.alive() && host.lastSeenAt().isBefore(confirmed) ? confirmed : host.lastSeenAt();
  }
}
