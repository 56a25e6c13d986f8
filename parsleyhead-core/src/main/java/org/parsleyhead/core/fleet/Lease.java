package org.parsleyhead.core.fleet;

import java.util.Arrays;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This host's claim to the lease of an instance.
 *
 * <p>Immutable and thread-safe. The lease is held while a majority of the known hosts has voted for
 * claims that were sent less than a lease duration ago.
 *
 * @param fence the fencing number; higher than all that were known when the lease was won
 * @param votes the expiry of each vote, by the endpoint of the voter
 * @param won whether the lease has been held without interruption since its fencing number was
 *     assigned
 */
record Lease(long fence, PMap<String, MonotonicTime> votes, boolean won) {

  static final Lease CLAIMED = new Lease(0, HashTreePMap.empty(), false);

  Lease withVote(String voter, MonotonicTime countsUntil) {
    MonotonicTime known = votes.get(voter);
    return known != null && countsUntil.isBefore(known)
        ? this
        : new Lease(fence, votes.plus(voter, countsUntil), won);
  }

  Lease asWon(long newFence) {
    return new Lease(newFence, votes, true);
  }

  Lease asLost() {
    return new Lease(fence, votes, false);
  }

  /**
   * Returns the instant until which at least the given number of votes counts; an instant in the
   * distant past if there are fewer votes.
   */
  MonotonicTime heldUntil(int majority) {
    if (votes.size() < majority) {
      return new MonotonicTime(Long.MIN_VALUE / 2);
    }
    long[] expiries = new long[votes.size()];
    int index = 0;
    for (MonotonicTime countsUntil : votes.values()) {
      expiries[index++] = countsUntil.nanoseconds();
    }
    Arrays.sort(expiries);
    return new MonotonicTime(expiries[expiries.length - majority]);
  }
}
