package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.ClientAccountName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Start-time fair queueing of adapter loads between client accounts, in loads.
 *
 * <p>An account that causes many more loads than the others runs ahead of virtual time; by how much
 * is told to the owners of engines, who load for the others first. Virtual time is the beginning of
 * the earliest load that is still wanted.
 *
 * <p>Immutable and thread-safe. Accounts that are not ahead of virtual time have no state.
 *
 * @param virtualTime the virtual time
 * @param ends for each account: where its last load ends
 * @param wanted the claims that are neither served nor given up
 * @param nextSequence the number of the next claim
 */
record LoadShares(
    double virtualTime,
    PMap<ClientAccountName, Double> ends,
    TreePSet<Claim> wanted,
    long nextSequence) {

  /**
   * The place of a wanted load.
   *
   * @param clientAccount the account whose request caused it
   * @param start where it begins in virtual time
   * @param sequence its number in the order of claims
   */
  record Claim(ClientAccountName clientAccount, double start, long sequence)
      implements Comparable<Claim> {

    @Override
    public int compareTo(Claim other) {
      int byStart = Double.compare(start, other.start);
      return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }
  }

  static LoadShares empty() {
    return new LoadShares(0, HashTreePMap.empty(), TreePSet.empty(), 0);
  }

  /** Returns the claim of an account's next load. */
  Claim claimFor(ClientAccountName account) {
    double start = Math.max(virtualTime, ends.getOrDefault(account, virtualTime));
    return new Claim(account, start, nextSequence);
  }

  /** Returns the shares with a claim made. */
  LoadShares make(Claim claim) {
    return new LoadShares(
        virtualTime,
        ends.plus(claim.clientAccount(), claim.start() + 1),
        wanted.plus(claim),
        nextSequence + 1);
  }

  /** Returns the shares after a claim was served. */
  LoadShares serve(Claim claim) {
    return end(claim, ends.getOrDefault(claim.clientAccount(), virtualTime));
  }

  /** Returns the shares after a claim was given up; its account gets the load back. */
  LoadShares abandon(Claim claim) {
    return end(claim, ends.getOrDefault(claim.clientAccount(), virtualTime) - 1);
  }

  /** Returns by how many loads a claim is ahead of virtual time. */
  int ahead(Claim claim) {
    return (int) Math.max(0, Math.round(claim.start() - virtualTime));
  }

  private LoadShares end(Claim claim, double accountEnd) {
    TreePSet<Claim> remaining = wanted.minus(claim);
    double earliest = remaining.isEmpty() ? claim.start() : remaining.first().start();
    double next = Math.max(virtualTime, earliest);
    return new LoadShares(
        next,
        accountEnd <= next
            ? ends.minus(claim.clientAccount())
            : ends.plus(claim.clientAccount(), accountEnd),
        remaining,
        nextSequence);
  }
}
