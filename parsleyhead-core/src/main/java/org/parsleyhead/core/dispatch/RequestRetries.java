package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * Charges the retries of requests to the budget of their service.
 *
 * <p>Immutable and thread-safe. A retry is charged once: when a silent attempt is withdrawn in
 * favour of the next one, or else when the next one is sent. One that is not made is returned,
 * whatever ends the request.
 */
final class RequestRetries {

  private final DispatchSettings settings;

  RequestRetries(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Returns whether a request may be sent again now. */
  boolean allows(DispatchState state, ActiveRequest active, MonotonicTime time) {
    return active.mayBeSentAgain()
        && (active.progress().history().retryReserved()
            || state.budget(settings, active.service(), time).allows());
  }

  /** Charges a retry unless that was done already. */
  DispatchState charge(DispatchState state, ActiveRequest active, MonotonicTime time) {
    return active.progress().history().retryReserved()
        ? state
        : state.withBudget(
            active.service(), state.budget(settings, active.service(), time).spend());
  }

  /** Returns the retry that a request has in reserve, since it is not made. */
  static DispatchState refund(DispatchState state, ActiveRequest active) {
    if (!active.progress().history().retryReserved()) {
      return state;
    }
    DispatchState next = state.withRequest(active.with(active.progress().withRetryReserved(false)));
    RetryBudget budget = state.budgets().get(active.service());
    return budget == null ? next : next.withBudget(active.service(), budget.refund());
  }
}
