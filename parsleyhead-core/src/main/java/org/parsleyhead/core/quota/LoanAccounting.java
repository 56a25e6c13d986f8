package org.parsleyhead.core.quota;

import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.quota.AccountState.BorrowedLoan;
import org.parsleyhead.core.quota.AccountState.LentLoan;
import org.pcollections.PMap;

/**
 * Advances the bucket of a client account in time and adjusts its parts as loans expire.
 *
 * <p>Stateless and thread-safe.
 */
final class LoanAccounting {

  private LoanAccounting() {}

  /** Returns the account at an instant, without the loans that have expired by then. */
  static AccountState advance(AccountState state, long shareParts, MonotonicTime time) {
    AccountState current = state;
    Optional<MonotonicTime> expiry = firstExpiry(current);
    while (expiry.isPresent() && !time.isBefore(expiry.get())) {
      current = current.withBucket(current.bucket().advance(expiry.get()));
      current = withParts(withoutExpired(current, expiry.get()), shareParts);
      expiry = firstExpiry(current);
    }
    return withParts(current.withBucket(current.bucket().advance(time)), shareParts);
  }

  /** Returns the account with the parts that result from its loans and this host's share. */
  static AccountState withParts(AccountState state, long shareParts) {
    long own = Math.max(0, shareParts - state.lentParts());
    long parts = Math.min(QuotaUnits.TOTAL_PARTS, own + state.borrowedParts());
    return state.withBucket(state.bucket().withParts(parts));
  }

  private static Optional<MonotonicTime> firstExpiry(AccountState state) {
    Optional<MonotonicTime> first = Optional.empty();
    for (LentLoan loan : state.lent().values()) {
      first = earlier(first, loan.expiresAt());
    }
    for (BorrowedLoan loan : state.borrowed().values()) {
      first = earlier(first, loan.expiresAt());
    }
    return first;
  }

  private static Optional<MonotonicTime> earlier(
      Optional<MonotonicTime> known, MonotonicTime other) {
    return known.isPresent() && !other.isBefore(known.get()) ? known : Optional.of(other);
  }

  private static AccountState withoutExpired(AccountState state, MonotonicTime time) {
    PMap<LoanIdentifier, LentLoan> lent = state.lent();
    for (Map.Entry<LoanIdentifier, LentLoan> entry : state.lent().entrySet()) {
      if (!time.isBefore(entry.getValue().expiresAt())) {
        lent = lent.minus(entry.getKey());
      }
    }
    PMap<LoanIdentifier, BorrowedLoan> borrowed = state.borrowed();
    for (Map.Entry<LoanIdentifier, BorrowedLoan> entry : state.borrowed().entrySet()) {
      if (!time.isBefore(entry.getValue().expiresAt())) {
        borrowed = borrowed.minus(entry.getKey());
      }
    }
    return state.withLoans(lent, borrowed);
  }
}
