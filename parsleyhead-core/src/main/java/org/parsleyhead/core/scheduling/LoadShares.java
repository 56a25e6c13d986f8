package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.ClientAccountName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Start-time fair queueing of adapter loads between client accounts, in loads.
 *
 * <p>An account that causes many more loads than the others runs ahead of virtual time. Pin
 * requests report by how much, so that the owners of engines load adapters for the other accounts
 * first. Virtual time is the lowest start tag of a pending claim. When no claim is pending, all
 * accounts are equal again.
 *
 * <p>Immutable and thread-safe. Accounts that are not ahead of virtual time have no state.
 *
 * @param virtualTime the virtual time
 * @param finishTags for each account, the finish tag of its last load
 * @param pending the claims that are neither completed nor cancelled
 * @param nextSequence the sequence number of the next claim
 */
record LoadShares(
    double virtualTime,
    PMap<ClientAccountName, Double> finishTags,
    TreePSet<Claim> pending,
    long nextSequence) {

  /**
   * A pending adapter load.
   *
   * @param clientAccount the account whose request caused the load
   * @param startTag the start tag of the load in virtual time
   * @param sequence the sequence number of the claim
   */
  record Claim(ClientAccountName clientAccount, double startTag, long sequence)
      implements Comparable<Claim> {

    @Override
    public int compareTo(Claim other) {
      int byStart = Double.compare(startTag, other.startTag);
      return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }
  }

  static LoadShares empty() {
    return new LoadShares(0, HashTreePMap.empty(), TreePSet.empty(), 0);
  }

  /** Returns the claim for the next load of an account, without adding it. */
  Claim claimFor(ClientAccountName account) {
    double startTag = Math.max(virtualTime, finishTags.getOrDefault(account, virtualTime));
    return new Claim(account, startTag, nextSequence);
  }

  /** Returns the shares with a claim added. */
  LoadShares add(Claim claim) {
    return new LoadShares(
        virtualTime,
        finishTags.plus(claim.clientAccount(), claim.startTag() + 1),
        pending.plus(claim),
        nextSequence + 1);
  }

  /** Returns the shares after the load of a claim was granted. */
  LoadShares complete(Claim claim) {
    return remove(claim, finishTags.getOrDefault(claim.clientAccount(), virtualTime));
  }

  /** Returns the shares after the cancellation of a claim; the load is refunded to its account. */
  LoadShares cancel(Claim claim) {
    return remove(claim, finishTags.getOrDefault(claim.clientAccount(), virtualTime) - 1);
  }

  /** Returns the number of loads by which a claim is ahead of virtual time. */
  int loadsAhead(Claim claim) {
    return (int) Math.max(0, Math.round(claim.startTag() - virtualTime));
  }

  private LoadShares remove(Claim claim, double finishTag) {
    TreePSet<Claim> remaining = pending.minus(claim);
    if (remaining.isEmpty()) {
      return new LoadShares(0, HashTreePMap.empty(), remaining, nextSequence);
    }
    double newVirtualTime = Math.max(virtualTime, remaining.first().startTag());
    return new LoadShares(
        newVirtualTime,
        finishTag <= newVirtualTime
            ? finishTags.minus(claim.clientAccount())
            : finishTags.plus(claim.clientAccount(), finishTag),
        remaining,
        nextSequence);
  }
}
