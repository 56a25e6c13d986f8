package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.quota.AccountState.BorrowedLoan;
import org.parsleyhead.core.quota.AccountState.Reservation;
import org.parsleyhead.core.quota.AccountState.WaitingRequest;

/**
 * Computes the parts and tokens that a host needs for the requests of a client account.
 *
 * <p>Stateless and thread-safe. Only lending depends on the results; the bound on admitted tokens
 * does not.
 */
final class DemandRules {

  private static final long RATE_MARGIN_PERCENT = 115;
  private static final long TOKEN_RESERVE_MILLISECONDS = 250;
  private static final Duration RENEWAL_LEAD_TIME = Duration.ofMillis(1_000);

  /** Returns the parts required by the demand, the waiting requests and the expected refunds. */
  long requiredParts(AccountState state, MonotonicTime time) {
    long forRequests = Math.max(partsForRate(state, time), partsForLargestRequest(state));
    return Math.max(forRequests, refundParts(state));
  }

  /** Returns the microtokens that running requests are expected not to use. */
  long expectedRefunds(AccountState state) {
    long reserved =
        state.reservations().values().stream().mapToLong(Reservation::microtokens).sum();
    return (long) (reserved * (1 - state.demand().usedFraction()));
  }

  /**
   * Returns the microtokens for which the bucket has spare capacity, less the expected refunds and
   * plus those for the waiting requests.
   */
  long spareCapacity(AccountState state) {
    long unfilled = state.bucket().capacity() - state.bucket().level();
    return Math.min(
        unfilled, Math.max(0, unfilled - expectedRefunds(state)) + waitingTokens(state));
  }

  /** Returns the parts whose capacity the expected refunds require. */
  long refundParts(AccountState state) {
    long burst = Math.max(1, state.limits().burstTokens());
    return Math.min(QuotaUnits.TOTAL_PARTS, expectedRefunds(state) / burst);
  }

  /** Returns the number of additional parts needed, including those of loans about to expire. */
  long missingParts(AccountState state, MonotonicTime time) {
    long held = state.bucket().parts();
    long forRate = partsForRate(state, time);
    boolean drained = state.bucket().level() < state.bucket().capacity() / 2;
    long missing = Math.max(drained ? forRate : 0, partsForLargestRequest(state)) - held;
    long expiring =
        state.borrowed().values().stream()
            .filter(loan -> loan.expiresAt().since(time).compareTo(RENEWAL_LEAD_TIME) < 0)
            .mapToLong(BorrowedLoan::parts)
            .sum();
    long renewed = Math.min(expiring, requiredParts(state, time) - (held - expiring));
    return Math.max(0, Math.max(missing, renewed));
  }

  /** Returns the microtokens missing for the waiting requests and the reserve. */
  long missingTokens(AccountState state, MonotonicTime time) {
    long wanted =
        waitingTokens(state) + Math.min(tokenReserve(state, time), state.bucket().capacity() / 4);
    long parts =
        Math.min(QuotaUnits.TOTAL_PARTS, state.bucket().parts() + missingParts(state, time));
    long target = Math.min(wanted, state.limits().capacity(parts));
    return Math.max(0, target - state.bucket().level());
  }

  /** Returns the microtokens that the demand consumes within the reserve period. */
  long tokenReserve(AccountState state, MonotonicTime time) {
    return state.demand().microtokensPerSecond(time) / 1000 * TOKEN_RESERVE_MILLISECONDS;
  }

  private static long waitingTokens(AccountState state) {
    return state.waiting().stream().mapToLong(WaitingRequest::microtokens).sum();
  }

  private static long partsForRate(AccountState state, MonotonicTime time) {
    long parts = state.demand().parts(state.limits(), time) * RATE_MARGIN_PERCENT / 100;
    return Math.min(QuotaUnits.TOTAL_PARTS, parts);
  }

  private static long partsForLargestRequest(AccountState state) {
    long burst = Math.max(1, state.limits().burstTokens());
    long largest = state.waiting().stream().mapToLong(WaitingRequest::microtokens).max().orElse(0);
    return (largest + burst - 1) / burst;
  }
}
