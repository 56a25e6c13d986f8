package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * Charges the retries of requests to the budget of their service.
 *
 * <p>Immutable and thread-safe. A retry is charged once: when a silent attempt is withdrawn in
 * favour of the next one, or else when the next one is sent.
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

  /** Returns the retry that a request has in reserve, since its attempt was not withdrawn. */
  DispatchState refund(DispatchState state, ActiveRequest active, MonotonicTime time) {
    return active.progress().history().retryReserved()
        ? state
            .withBudget(active.service(), state.budget(settings, active.service(), time).refund())
            .withRequest(active.with(active.progress().withRetryReserved(false)))
        : state;
  }
}
