package org.parsleyhead.core.quota;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.quota.AccountState.Reservation;
import org.parsleyhead.core.quota.AccountState.WaitingRequest;
import org.pcollections.PVector;

/**
 * Admits or refuses requests and accounts for their tokens.
 *
 * <p>Stateless apart from its settings and thread-safe. A request is admitted only if the bucket
 * covers its tokens, and only while this host may use its share.
 */
final class AdmissionRules {

  private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofMinutes(1);

  private final QuotaSettings settings;
  private final RefundRule refundRule;

  AdmissionRules(QuotaSettings settings, RefundRule refundRule) {
    this.settings = settings;
    this.refundRule = refundRule;
  }

  /** Appends a request to the queue, or refuses it if it is larger than the burst. */
  AccountState enqueue(
      AccountState state, QuotaEvent.Reserve event, MonotonicTime time, List<QuotaEffect> effects) {
    long amount = QuotaUnits.microtokens(event.tokens());
    if (amount > state.limits().capacity(QuotaUnits.TOTAL_PARTS)) {
      effects.add(
          new QuotaEffect.Refused(event.request(), RefusalReason.LARGER_THAN_BURST, Duration.ZERO));
      return state;
    }
    WaitingRequest request =
        new WaitingRequest(event.request(), amount, time.plus(settings.maximumWait()));
    return state
        .withDemand(state.demand().afterReservation(amount, time))
        .withWaiting(state.waiting().plus(request));
  }

  /** Applies changed limits and refuses the waiting requests that exceed the new burst. */
  AccountState applyLimits(AccountState state, Limits limits, List<QuotaEffect> effects) {
    AccountState limited = state.withBucket(state.bucket().withLimits(limits));
    RefusalReason reason =
        limits.isEmpty() ? RefusalReason.UNKNOWN_ACCOUNT : RefusalReason.LARGER_THAN_BURST;
    for (WaitingRequest request : state.waiting()) {
      if (request.microtokens() > limits.capacity(QuotaUnits.TOTAL_PARTS)) {
        effects.add(new QuotaEffect.Refused(request.request(), reason, Duration.ZERO));
        limited = limited.withWaiting(limited.waiting().minus(request));
      }
    }
    return limited;
  }

  /** Admits waiting requests in order of arrival while the bucket covers them. */
  AccountState admit(
      AccountState state, ShareState share, MonotonicTime time, List<QuotaEffect> effects) {
    boolean usable = share.parts() == 0 || share.isUsable(time);
    AccountState current = state;
    while (usable
        && !current.waiting().isEmpty()
        && current.waiting().get(0).microtokens() <= current.bucket().level()) {
      WaitingRequest request = current.waiting().get(0);
      TokenBucket charged = current.bucket().charge(request.microtokens());
      Reservation reservation = new Reservation(request.microtokens(), charged.historyPosition());
      effects.add(new QuotaEffect.Admitted(request.request()));
      current =
          current
              .withBucket(charged)
              .withReservations(current.reservations().plus(request.request(), reservation))
              .withWaiting(current.waiting().minus(0));
    }
    return current;
  }

  /** Refuses the waiting requests whose deadline has passed. */
  AccountState refuseExpired(
      AccountState state, ShareState share, MonotonicTime time, List<QuotaEffect> effects) {
    PVector<WaitingRequest> waiting = state.waiting();
    AccountState current = state;
    while (!waiting.isEmpty() && !time.isBefore(waiting.get(0).deadline())) {
      effects.add(refusal(current, share, waiting.get(0)));
      waiting = waiting.minus(0);
    }
    return waiting == state.waiting() ? state : current.withWaiting(waiting);
  }

  /**
   * Refunds the unused part of a request's reservation; a request that is still waiting is removed
   * from the queue.
   */
  AccountState settle(AccountState state, RequestIdentifier request, long microtokens) {
    Reservation reservation = state.reservations().get(request);
    if (reservation == null) {
      return withoutWaiting(state, request);
    }
    long unused = Math.max(0, reservation.microtokens() - microtokens);
    return state
        .withBucket(refundRule.refund(state.bucket(), reservation.historyPosition(), unused))
        .withDemand(state.demand().afterSettlement(reservation.microtokens(), microtokens))
        .withReservations(state.reservations().minus(request));
  }

  private static AccountState withoutWaiting(AccountState state, RequestIdentifier request) {
    PVector<WaitingRequest> waiting = state.waiting();
    for (WaitingRequest candidate : state.waiting()) {
      if (candidate.request().equals(request)) {
        waiting = waiting.minus(candidate);
      }
    }
    return waiting == state.waiting() ? state : state.withWaiting(waiting);
  }

  private static QuotaEffect refusal(AccountState state, ShareState share, WaitingRequest request) {
    RefusalReason reason =
        share.usableUntil().isEmpty() && state.borrowed().isEmpty()
            ? RefusalReason.NO_SHARE
            : RefusalReason.RATE_EXCEEDED;
    long missing = Math.max(0, request.microtokens() - state.bucket().level());
    long rate = Math.max(1, state.limits().rate(QuotaUnits.TOTAL_PARTS));
    long milliseconds = missing / Math.max(1, rate / 1000);
    Duration retryAfter =
        Duration.ofMillis(
            Math.max(
                MINIMUM_RETRY_DELAY.toMillis(),
                Math.min(milliseconds, MAXIMUM_RETRY_DELAY.toMillis())));
    return new QuotaEffect.Refused(request.request(), reason, retryAfter);
  }
}
