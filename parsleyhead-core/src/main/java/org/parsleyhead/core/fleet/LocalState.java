package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.PMap;

/**
 * The deadlines, counters and flags of this host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param earliestClaimAt the end of the initial discovery, before which this host claims no lease
 * @param membership whether this host is certain to know all members of the fleet
 * @param earliestVoteAt from when this host may vote; a restarted one has lost its earlier votes
 * @param wallClockMilliseconds the wall-clock time at the last tick, in milliseconds since 1970
 * @param highestFence the highest fencing number that this host has observed
 * @param lastNonce the number of the last heartbeat; the numbers start at the incarnation, so that
 *     an answer to a former process matches no heartbeat of this one
 * @param lastOrderNumber the number of the last order
 * @param leaving whether this process is about to stop
 * @param sentHeartbeats the most recent heartbeats, by their number
 */
record LocalState(
    MonotonicTime earliestClaimAt,
    Membership membership,
    MonotonicTime earliestVoteAt,
    long wallClockMilliseconds,
    long highestFence,
    long lastNonce,
    long lastOrderNumber,
    boolean leaving,
    PMap<Long, SentHeartbeats> sentHeartbeats) {

  LocalState withWallClock(long wallClock) {
    return new LocalState(
        earliestClaimAt,
        membership,
        earliestVoteAt,
        wallClock,
        highestFence,
        lastNonce,
        lastOrderNumber,
        leaving,
        sentHeartbeats);
  }

  LocalState withObservedFence(long fence) {
    return fence <= highestFence
        ? this
        : new LocalState(
            earliestClaimAt,
            membership,
            earliestVoteAt,
            wallClockMilliseconds,
            fence,
            lastNonce,
            lastOrderNumber,
            leaving,
            sentHeartbeats);
  }

  LocalState withNextHeartbeat(List<String> claims, MonotonicTime time) {
    PMap<Long, SentHeartbeats> next =
        sentHeartbeats.plus(lastNonce + 1, new SentHeartbeats(time, claims));
    return new LocalState(
        earliestClaimAt,
        membership,
        earliestVoteAt,
        wallClockMilliseconds,
        highestFence,
        lastNonce + 1,
        lastOrderNumber,
        leaving,
        next.minus(lastNonce + 1 - MAXIMUM_TRACKED_HEARTBEATS));
  }

  LocalState withNextOrder() {
    return new LocalState(
        earliestClaimAt,
        membership,
        earliestVoteAt,
        wallClockMilliseconds,
        highestFence,
        lastNonce,
        lastOrderNumber + 1,
        leaving,
        sentHeartbeats);
  }

  LocalState withMembership(Membership next) {
    return new LocalState(
        earliestClaimAt,
        next,
        earliestVoteAt,
        wallClockMilliseconds,
        highestFence,
        lastNonce,
        lastOrderNumber,
        leaving,
        sentHeartbeats);
  }

  LocalState withEarliestVoteAt(MonotonicTime next) {
    return new LocalState(
        earliestClaimAt,
        membership,
        next,
        wallClockMilliseconds,
        highestFence,
        lastNonce,
        lastOrderNumber,
        leaving,
        sentHeartbeats);
  }

  /** Returns whether this host may claim leases. */
  boolean mayClaim(MonotonicTime time) {
    return !leaving && membership.known() && !time.isBefore(earliestClaimAt);
  }

  /** Returns whether this host may vote. */
  boolean mayVote(MonotonicTime time) {
    return membership.known() && !time.isBefore(earliestVoteAt);
  }

  LocalState asLeaving() {
    return new LocalState(
        earliestClaimAt,
        membership,
        earliestVoteAt,
        wallClockMilliseconds,
        highestFence,
        lastNonce,
        lastOrderNumber,
        true,
        sentHeartbeats);
  }

  /** Number of heartbeats whose answers are accepted; more than are sent during a lease. */
  private static final long MAXIMUM_TRACKED_HEARTBEATS = 32;
}
