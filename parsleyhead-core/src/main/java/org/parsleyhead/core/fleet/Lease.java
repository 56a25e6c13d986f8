package org.parsleyhead.core.fleet;

import java.util.Arrays;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This host's claim on an instance.
 *
 * <p>Immutable and thread-safe. The lease is held while a majority of the known hosts has voted for
 * claims that were sent less than the time of a lease ago.
 *
 * @param fence the fencing number; higher than all that were known when the lease was first won
 * @param votes until when each vote counts, by the endpoint of the voter
 * @param won whether the lease is held without a break since its fencing number was drawn
 */
record Lease(long fence, PMap<String, MonotonicTime> votes, boolean won) {

  static final Lease CLAIMED = new Lease(0, HashTreePMap.empty(), false);

  Lease vote(String voter, MonotonicTime countsUntil) {
    MonotonicTime known = votes.get(voter);
    return known != null && countsUntil.isBefore(known)
        ? this
        : new Lease(fence, votes.plus(voter, countsUntil), won);
  }

  Lease win(long newFence) {
    return new Lease(newFence, votes, true);
  }

  Lease lose() {
    return new Lease(fence, votes, false);
  }

  /** Returns the instant until which a number of votes count; the origin if there are too few. */
  MonotonicTime heldUntil(int majority) {
    if (votes.size() < majority) {
      return new MonotonicTime(Long.MIN_VALUE / 2);
    }
    long[] instants = new long[votes.size()];
    int index = 0;
    for (MonotonicTime countsUntil : votes.values()) {
      instants[index++] = countsUntil.nanoseconds();
    }
    Arrays.sort(instants);
    return new MonotonicTime(instants[instants.length - majority]);
  }
}
