package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The quota state of one host: its share of the limits and the state of each client account.
 *
 * <p>Immutable and thread-safe.
 */
public final class QuotaState {

  private final ShareState share;
  private final PMap<ClientAccountName, AccountState> accounts;
  private final long nextNumber;

  QuotaState(ShareState share, PMap<ClientAccountName, AccountState> accounts, long nextNumber) {
    this.share = share;
    this.accounts = accounts;
    this.nextNumber = nextNumber;
  }

  /** Returns the state of a newly started process: without share, accounts and tokens. */
  public static QuotaState initial(MonotonicTime startedAt) {
    return new QuotaState(ShareState.initial(startedAt), HashTreePMap.empty(), 0);
  }

  /** Returns whether this host may use a share of the limits at an instant. */
  public boolean hasShare(MonotonicTime time) {
    return share.parts() > 0 && share.isUsable(time);
  }

  /** Returns this host's share out of {@link QuotaUnits#TOTAL_PARTS}. */
  public long shareParts() {
    return share.parts();
  }

  /** Returns the number of known client accounts, including deleted ones. */
  public int accountCount() {
    return accounts.size();
  }

  ShareState share() {
    return share;
  }

  PMap<ClientAccountName, AccountState> accounts() {
    return accounts;
  }

  long nextNumber() {
    return nextNumber;
  }

  QuotaState withShare(ShareState changed) {
    return new QuotaState(changed, accounts, nextNumber);
  }

  QuotaState withAccounts(PMap<ClientAccountName, AccountState> changed) {
    return new QuotaState(share, changed, nextNumber);
  }

  QuotaState withAccount(AccountState changed) {
    return new QuotaState(share, accounts.plus(changed.name(), changed), nextNumber);
  }

  QuotaState withNextNumber(long number) {
    return new QuotaState(share, accounts, number);
  }
}
