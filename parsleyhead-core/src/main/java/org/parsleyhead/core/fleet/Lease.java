package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * This host's claim to the lease of an instance.
 *
 * <p>Immutable and thread-safe. The lease is held while a majority of the known hosts has voted for
 * claims that were sent less than a lease duration ago. The votes must be a majority of the hosts
 * that each of these voters knows, too: a host that has not yet heard of hosts that joined wins no
 * lease with voters that count them.
 *
 * @param fence the fencing number; higher than all that were known when the lease was won
 * @param votes the votes, by the endpoint of the voter
 * @param won whether the lease has been held without interruption since its fencing number was
 *     assigned
 */
record Lease(long fence, PMap<String, ReceivedVote> votes, boolean won) {

  static final Lease CLAIMED = new Lease(0, HashTreePMap.empty(), false);

  Lease withVote(String voter, ReceivedVote vote) {
    ReceivedVote known = votes.get(voter);
    return known != null && vote.countsUntil().isBefore(known.countsUntil())
        ? this
        : new Lease(fence, votes.plus(voter, vote), won);
  }

  Lease asWon(long newFence) {
    return new Lease(newFence, votes, true);
  }

  Lease asLost() {
    return new Lease(fence, votes, false);
  }

  /**
   * Returns the instant until which the votes suffice; an instant in the distant past if there are
   * too few.
   *
   * @param knownHosts the number of hosts that the claimant counts for majorities
   */
  MonotonicTime heldUntil(int knownHosts) {
    MonotonicTime latest = new MonotonicTime(Long.MIN_VALUE / 2);
    int[] counts = votes.values().stream().mapToInt(ReceivedVote::knownHosts).distinct().toArray();
    for (int counted : counts) {
      MonotonicTime until = heldUntil(counted, Math.max(knownHosts, counted) / 2 + 1);
      latest = latest.isBefore(until) ? until : latest;
    }
    return latest;
  }

  /**
   * Returns the instant until which enough votes count, of voters that know at most a number of
   * hosts.
   */
  private MonotonicTime heldUntil(int maximumKnownHosts, int majority) {
    long[] expiries =
        votes.values().stream()
            .filter(vote -> vote.knownHosts() <= maximumKnownHosts)
            .mapToLong(vote -> vote.countsUntil().nanoseconds())
            .sorted()
            .toArray();
    return new MonotonicTime(
        expiries.length < majority ? Long.MIN_VALUE / 2 : expiries[expiries.length - majority]);
  }

  /**
   * A vote for this host.
   *
   * <p>Immutable and thread-safe.
   *
   * @param countsUntil its expiry
   * @param knownHosts the number of hosts that the voter counts for majorities
   */
  record ReceivedVote(MonotonicTime countsUntil, int knownHosts) {}
}
