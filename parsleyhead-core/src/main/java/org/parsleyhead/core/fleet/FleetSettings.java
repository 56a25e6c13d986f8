package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.List;

/**
 * The timing of the fleet protocol and the identity of this host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the endpoint at which this host receives messages; its identity across restarts
 * @param incarnation the random number of this run of the process
 * @param capacityPercent the processor share of this host, in hundredths of a core
 * @param seeds endpoints of the hosts to contact first, possibly stale
 * @param heartbeatInterval the time between heartbeats to a live host
 * @param probeInterval the time between heartbeats to a host that does not answer
 * @param heartbeatTimeout the time without contact after which a live host is considered silent
 * @param hostRemovalTimeout the time without contact after which a host no longer counts for
 *     majorities
 * @param leaseDuration the duration of a lease, from the instant at which it was claimed
 * @param leaseGap the minimum time between the last order of one host and the first order of
 *     another
 * @param coldLoadDuration the load time of an adapter that the server did not hold recently
 * @param warmLoadDuration the load time of an adapter that the server held recently
 * @param orderTimeout the timeout for the answer to an order or a report request
 * @param reportLag the maximum age of a server's report
 */
public record FleetSettings(
    String self,
    long incarnation,
    int capacityPercent,
    List<String> seeds,
    Duration heartbeatInterval,
    Duration probeInterval,
    Duration heartbeatTimeout,
    Duration hostRemovalTimeout,
    Duration leaseDuration,
    Duration leaseGap,
    Duration coldLoadDuration,
    Duration warmLoadDuration,
    Duration orderTimeout,
    Duration reportLag) {

  /** Copies the seeds. */
  public FleetSettings {
    seeds = List.copyOf(seeds);
  }

  /** Returns how long a vote binds its voter, from the instant at which it was given. */
  Duration voteDuration() {
    return leaseDuration.plus(leaseGap);
  }
}
