package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.quota.AccountState.BorrowedLoan;
import org.parsleyhead.core.quota.AccountState.WaitingRequest;

/**
 * Works out what a host needs for the requests of a client account.
 *
 * <p>Stateless and thread-safe. Only lending depends on it, no bound does.
 */
final class Needs {

  private static final long MARGIN_PERCENT = 120;
  private static final long TOKEN_RESERVE_MILLISECONDS = 500;
  private static final Duration RENEWAL_LEAD = Duration.ofMillis(1_000);

  /** Returns the parts that the demand and the largest waiting request take up. */
  long neededParts(AccountState state, MonotonicTime time) {
    long byRate = state.demand().parts(state.limits(), time) * MARGIN_PERCENT / 100;
    return Math.min(QuotaUnits.PARTS, Math.max(byRate, partsToHold(state)));
  }

  /** Returns how many parts more are needed than will be held when the next loans have ended. */
  long lackingParts(AccountState state, MonotonicTime time) {
    long ending =
        state.borrowed().values().stream()
            .filter(loan -> loan.until().since(time).compareTo(RENEWAL_LEAD) < 0)
            .mapToLong(BorrowedLoan::parts)
            .sum();
    long held = state.bucket().parts() - ending;
    return Math.max(0, neededParts(state, time) - held);
  }

  /** Returns how many tokens are lacking for waiting requests and the reserve. */
  long lackingTokens(AccountState state, MonotonicTime time) {
    long waiting = state.waiting().stream().mapToLong(WaitingRequest::microtokens).sum();
    long wanted = waiting + tokenReserve(state, time);
    return Math.max(
        0, Math.min(wanted, state.limits().capacity(QuotaUnits.PARTS)) - state.bucket().level());
  }

  /** Returns the tokens that the demand takes up in a short time. */
  long tokenReserve(AccountState state, MonotonicTime time) {
    return state.demand().perSecond(time) / 1000 * TOKEN_RESERVE_MILLISECONDS;
  }

  private static long partsToHold(AccountState state) {
    long burst = Math.max(1, state.limits().burstTokens());
    long largest = state.waiting().stream().mapToLong(WaitingRequest::microtokens).max().orElse(0);
    return (largest + burst - 1) / burst;
  }
}
