package org.parsleyhead.core.membership;

import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The liveness of the other hosts as this host sees it, with its outstanding probes.
 *
 * <p>Immutable and thread-safe. A host without an update is considered alive.
 *
 * @param ownRefutationNumber the refutation number of this host
 * @param latestUpdates the latest update for each host that has one
 * @param suspectedSince for each suspected host, when the suspicion started
 * @param queuedUpdates the updates that are still to be disseminated
 * @param probe the outstanding probe, if any
 * @param relays the outstanding probes on behalf of other hosts, by nonce
 * @param nextProbeAt when the next probe is due
 * @param lastTickAt when the last tick was handled
 */
record LivenessState(
    long ownRefutationNumber,
    PMap<HostName, LivenessUpdate> latestUpdates,
    PMap<HostName, MonotonicTime> suspectedSince,
    PMap<HostName, QueuedUpdate> queuedUpdates,
    Optional<OutstandingProbe> probe,
    PMap<Long, Relay> relays,
    MonotonicTime nextProbeAt,
    MonotonicTime lastTickAt) {

  /** Returns the initial state of a process. */
  static LivenessState initial(MonotonicTime time) {
    return new LivenessState(
        0,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        Optional.empty(),
        HashTreePMap.empty(),
        time,
        time);
  }

  LivenessUpdate latestUpdate(HostName host) {
    LivenessUpdate update = latestUpdates.get(host);
    return update != null ? update : new LivenessUpdate(host, 0, Liveness.ALIVE);
  }

  LivenessState withOwnRefutationNumber(long number) {
    return new LivenessState(
        number,
        latestUpdates,
        suspectedSince,
        queuedUpdates,
        probe,
        relays,
        nextProbeAt,
        lastTickAt);
  }

  LivenessState withUpdate(LivenessUpdate update, MonotonicTime time) {
    PMap<HostName, MonotonicTime> since =
        update.liveness() == Liveness.SUSPECTED
            ? suspectedSince.plus(update.host(), time)
            : suspectedSince.minus(update.host());
    return new LivenessState(
        ownRefutationNumber,
        latestUpdates.plus(update.host(), update),
        since,
        queuedUpdates,
        probe,
        relays,
        nextProbeAt,
        lastTickAt);
  }

  LivenessState withSuspectedSince(PMap<HostName, MonotonicTime> since) {
    return new LivenessState(
        ownRefutationNumber,
        latestUpdates,
        since,
        queuedUpdates,
        probe,
        relays,
        nextProbeAt,
        lastTickAt);
  }

  LivenessState withQueuedUpdates(PMap<HostName, QueuedUpdate> remaining) {
    return new LivenessState(
        ownRefutationNumber,
        latestUpdates,
        suspectedSince,
        remaining,
        probe,
        relays,
        nextProbeAt,
        lastTickAt);
  }

  LivenessState withProbe(Optional<OutstandingProbe> outstanding) {
    return new LivenessState(
        ownRefutationNumber,
        latestUpdates,
        suspectedSince,
        queuedUpdates,
        outstanding,
        relays,
        nextProbeAt,
        lastTickAt);
  }

  LivenessState withRelays(PMap<Long, Relay> remaining) {
    return new LivenessState(
        ownRefutationNumber,
        latestUpdates,
        suspectedSince,
        queuedUpdates,
        probe,
        remaining,
        nextProbeAt,
        lastTickAt);
  }

  LivenessState withTimes(MonotonicTime next, MonotonicTime tick) {
    return new LivenessState(
        ownRefutationNumber,
        latestUpdates,
        suspectedSince,
        queuedUpdates,
        probe,
        relays,
        next,
        tick);
  }

  /**
   * An update that is still to be disseminated.
   *
   * @param update the update
   * @param remainingTransmissions the number of messages that will still carry it
   */
  record QueuedUpdate(LivenessUpdate update, int remainingTransmissions) {}

  /**
   * A probe that has not been answered yet.
   *
   * @param nonce the nonce of the probe
   * @param target the probed host
   * @param sentAt when it was sent
   * @param relayed whether other hosts were asked to probe the target too
   */
  record OutstandingProbe(long nonce, HostName target, MonotonicTime sentAt, boolean relayed) {}

  /**
   * An outstanding probe on behalf of another host.
   *
   * @param requester the host that requested it
   * @param nonce the nonce of the requester's probe
   * @param sentAt when it was sent
   */
  record Relay(HostName requester, long nonce, MonotonicTime sentAt) {}
}
