package org.parsleyhead.core.quota;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.quota.AccountState.BorrowedLoan;
import org.parsleyhead.core.quota.AccountState.Reservation;
import org.parsleyhead.core.quota.AccountState.WaitingRequest;

/**
 * Works out what a host needs for the requests of a client account.
 *
 * <p>Stateless and thread-safe. Only lending depends on it, no bound does.
 */
final class Needs {

  private static final long MARGIN_PERCENT = 115;
  private static final long TOKEN_RESERVE_MILLISECONDS = 250;
  private static final Duration RENEWAL_LEAD = Duration.ofMillis(1_000);

  /** Returns the parts that the demand, waiting requests and expected refunds take up. */
  long neededParts(AccountState state, MonotonicTime time) {
    long forRequests = Math.max(partsForRate(state, time), partsToHold(state));
    return Math.max(forRequests, refundParts(state));
  }

  /** Returns the tokens that running requests are expected not to use. */
  long expectedRefunds(AccountState state) {
    long reserved =
        state.reservations().values().stream().mapToLong(Reservation::microtokens).sum();
    return (long) (reserved * (1 - state.demand().usedShare()));
  }

  /** Returns the tokens that find room beside the expected refunds, or for waiting requests. */
  long room(AccountState state) {
    long empty = state.bucket().capacity() - state.bucket().level();
    return Math.min(empty, Math.max(0, empty - expectedRefunds(state)) + waitingTokens(state));
  }

  /** Returns the parts without which expected refunds would find no room. */
  long refundParts(AccountState state) {
    long burst = Math.max(1, state.limits().burstTokens());
    return Math.min(QuotaUnits.PARTS, expectedRefunds(state) / burst);
  }

  /** Returns how many parts more are needed, those of loans that end soon included. */
  long lackingParts(AccountState state, MonotonicTime time) {
    long held = state.bucket().parts();
    long forRate = partsForRate(state, time);
    boolean drained = state.bucket().level() < state.bucket().capacity() / 2;
    long lacking = Math.max(drained ? forRate : 0, partsToHold(state)) - held;
    long ending =
        state.borrowed().values().stream()
            .filter(loan -> loan.until().since(time).compareTo(RENEWAL_LEAD) < 0)
            .mapToLong(BorrowedLoan::parts)
            .sum();
    long renewed = Math.min(ending, neededParts(state, time) - (held - ending));
    return Math.max(0, Math.max(lacking, renewed));
  }

  /** Returns how many tokens are lacking for waiting requests and the reserve. */
  long lackingTokens(AccountState state, MonotonicTime time) {
    long wanted =
        waitingTokens(state) + Math.min(tokenReserve(state, time), state.bucket().capacity() / 4);
    long parts = Math.min(QuotaUnits.PARTS, state.bucket().parts() + lackingParts(state, time));
    long most = Math.min(wanted, state.limits().capacity(parts));
    return Math.max(0, most - state.bucket().level());
  }

  /** Returns the tokens that the demand takes up in a short time. */
  long tokenReserve(AccountState state, MonotonicTime time) {
    return state.demand().perSecond(time) / 1000 * TOKEN_RESERVE_MILLISECONDS;
  }

  private static long waitingTokens(AccountState state) {
    return state.waiting().stream().mapToLong(WaitingRequest::microtokens).sum();
  }

  private static long partsForRate(AccountState state, MonotonicTime time) {
    long parts = state.demand().parts(state.limits(), time) * MARGIN_PERCENT / 100;
    return Math.min(QuotaUnits.PARTS, parts);
  }

  private static long partsToHold(AccountState state) {
    long burst = Math.max(1, state.limits().burstTokens());
    long largest = state.waiting().stream().mapToLong(WaitingRequest::microtokens).max().orElse(0);
    return (largest + burst - 1) / burst;
  }
}
