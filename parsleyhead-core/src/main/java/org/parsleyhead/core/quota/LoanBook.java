package org.parsleyhead.core.quota;

import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.quota.AccountState.BorrowedLoan;
import org.parsleyhead.core.quota.AccountState.LentLoan;
import org.pcollections.PMap;

/**
 * Brings the bucket of a client account up to an instant, loans that end in between included.
 *
 * <p>Stateless and thread-safe.
 */
final class LoanBook {

  private LoanBook() {}

  /** Returns the account at an instant, given the parts of this host's share. */
  static AccountState advance(AccountState state, long shareParts, MonotonicTime time) {
    AccountState current = state;
    Optional<MonotonicTime> end = firstEnd(current);
    while (end.isPresent() && !time.isBefore(end.get())) {
      current = current.withBucket(current.bucket().advance(end.get()));
      current = withParts(withoutEnded(current, end.get()), shareParts);
      end = firstEnd(current);
    }
    return withParts(current.withBucket(current.bucket().advance(time)), shareParts);
  }

  /** Returns the account with the parts that its loans and this host's share give. */
  static AccountState withParts(AccountState state, long shareParts) {
    long own = Math.max(0, shareParts - state.lentParts());
    long parts = Math.min(QuotaUnits.PARTS, own + state.borrowedParts());
    return state.withBucket(state.bucket().withParts(parts));
  }

  private static Optional<MonotonicTime> firstEnd(AccountState state) {
    Optional<MonotonicTime> first = Optional.empty();
    for (LentLoan loan : state.lent().values()) {
      first = earlier(first, loan.until());
    }
    for (BorrowedLoan loan : state.borrowed().values()) {
      first = earlier(first, loan.until());
    }
    return first;
  }

  private static Optional<MonotonicTime> earlier(
      Optional<MonotonicTime> known, MonotonicTime other) {
    return known.isPresent() && !other.isBefore(known.get()) ? known : Optional.of(other);
  }

  private static AccountState withoutEnded(AccountState state, MonotonicTime time) {
    PMap<LoanIdentifier, LentLoan> lent = state.lent();
    for (Map.Entry<LoanIdentifier, LentLoan> entry : state.lent().entrySet()) {
      if (!time.isBefore(entry.getValue().until())) {
        lent = lent.minus(entry.getKey());
      }
    }
    PMap<LoanIdentifier, BorrowedLoan> borrowed = state.borrowed();
    for (Map.Entry<LoanIdentifier, BorrowedLoan> entry : state.borrowed().entrySet()) {
      if (!time.isBefore(entry.getValue().until())) {
        borrowed = borrowed.minus(entry.getKey());
      }
    }
    return state.withLoans(lent, borrowed);
  }
}
