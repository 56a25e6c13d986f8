package org.parsleyhead.core.membership;

import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The opinions of one host on the others, with what is under way to check them.
 *
 * <p>Immutable and thread-safe. A host without an opinion counts as alive.
 *
 * @param ownNumber the number that this host gives itself
 * @param opinions the opinions that differ from the initial one
 * @param suspectedSince for each suspected host, since when
 * @param rumours the opinions that are still to be passed on
 * @param probe the probe that waits for its answer
 * @param relays the probes that are under way for other hosts, by their nonce
 * @param nextProbe when the next probe is due
 * @param lastTick when time was last told
 */
record LivenessState(
    long ownNumber,
    PMap<HostName, LivenessUpdate> opinions,
    PMap<HostName, MonotonicTime> suspectedSince,
    PMap<HostName, Rumour> rumours,
    Optional<OutstandingProbe> probe,
    PMap<Long, Relay> relays,
    MonotonicTime nextProbe,
    MonotonicTime lastTick) {

  /** Returns the state of a process that starts. */
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

  LivenessUpdate opinionOn(HostName host) {
    LivenessUpdate opinion = opinions.get(host);
    return opinion != null ? opinion : new LivenessUpdate(host, 0, Liveness.ALIVE);
  }

  LivenessState withOwnNumber(long number) {
    return new LivenessState(
        number, opinions, suspectedSince, rumours, probe, relays, nextProbe, lastTick);
  }

  LivenessState withOpinion(LivenessUpdate opinion, MonotonicTime time) {
    PMap<HostName, MonotonicTime> since =
        opinion.liveness() == Liveness.SUSPECTED
            ? suspectedSince.plus(opinion.host(), time)
            : suspectedSince.minus(opinion.host());
    return new LivenessState(
        ownNumber,
        opinions.plus(opinion.host(), opinion),
        since,
        rumours,
        probe,
        relays,
        nextProbe,
        lastTick);
  }

  LivenessState withSuspicions(PMap<HostName, MonotonicTime> since) {
    return new LivenessState(
        ownNumber, opinions, since, rumours, probe, relays, nextProbe, lastTick);
  }

  LivenessState withRumours(PMap<HostName, Rumour> remaining) {
    return new LivenessState(
        ownNumber, opinions, suspectedSince, remaining, probe, relays, nextProbe, lastTick);
  }

  LivenessState withProbe(Optional<OutstandingProbe> outstanding) {
    return new LivenessState(
        ownNumber, opinions, suspectedSince, rumours, outstanding, relays, nextProbe, lastTick);
  }

  LivenessState withRelays(PMap<Long, Relay> remaining) {
    return new LivenessState(
        ownNumber, opinions, suspectedSince, rumours, probe, remaining, nextProbe, lastTick);
  }

  LivenessState withTimes(MonotonicTime next, MonotonicTime tick) {
    return new LivenessState(
        ownNumber, opinions, suspectedSince, rumours, probe, relays, next, tick);
  }

  /**
   * An opinion that is still to be passed on.
   *
   * @param update the opinion
   * @param remaining how many more times it is sent
   */
  record Rumour(LivenessUpdate update, int remaining) {}

  /**
   * A probe that waits for its answer.
   *
   * @param nonce the number of the probe
   * @param target the probed host
   * @param sentAt when it was sent
   * @param relayed whether other hosts were asked to repeat it
   */
  record OutstandingProbe(long nonce, HostName target, MonotonicTime sentAt, boolean relayed) {}

  /**
   * A probe on behalf of another host.
   *
   * @param requester the host that asked for it
   * @param nonce the number of the requester's probe
   * @param sentAt when it was sent
   */
  record Relay(HostName requester, long nonce, MonotonicTime sentAt) {}
}
