package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.serving.AccountLimits;

/**
 * Ends requests, and gives back what they held.
 *
 * <p>Stateless and thread-safe. A refusal promises that a request has not run only if it has not.
 */
final class Conclusions {

  /** When callers should come back after a refusal for want of room. */
  private static final Duration RETURN_DELAY = Duration.ofMillis(150);

  private Conclusions() {}

  /** Ends a request that cannot be sent again: with what is held, or with a true refusal. */
  static Step<DispatchState, DispatchEffect> giveUp(
      DispatchState state, ActiveRequest active, DispatchRefusal.Code code, MonotonicTime time) {
    return giveUp(state, active, code, RETURN_DELAY, time);
  }

  /** Ends a request that cannot be sent again; its caller is told when to come back. */
  static Step<DispatchState, DispatchEffect> giveUp(
      DispatchState state,
      ActiveRequest active,
      DispatchRefusal.Code code,
      Duration returnIn,
      MonotonicTime time) {
    boolean mayHaveRun = active.progress().possibleRuns() > 0;
    DispatchState next = release(state, active, !mayHaveRun);
    if (active.progress().begun()) {
      return Step.of(next, new DispatchEffect.Abort(active.request(), code.name()));
    }
    DispatchRefusal refusal =
        mayHaveRun
            ? DispatchRefusal.of(
                code == DispatchRefusal.Code.TIMED_OUT
                    ? code
                    : DispatchRefusal.Code.UPSTREAM_FAILED)
            : DispatchRefusal.after(code, returnIn);
    return Step.of(
        next, new DispatchEffect.Refuse(active.request(), refusal, inputs(active, time)));
  }

  /** Returns the state without a request; what it was charged is given back if it did not run. */
  static DispatchState release(DispatchState state, ActiveRequest active, boolean refund) {
    DispatchState next = withoutShare(state, active).withoutRequest(active.key());
    if (!refund || active.account().isEmpty()) {
      return next;
    }
    String name = active.account().get().name().text();
    Allowance allowance = next.allowances().get(name);
    return allowance == null ? next : next.withAllowance(name, allowance.refund(active.units()));
  }

  /** Returns the state without the work that a request adds to its instance. */
  static DispatchState withoutShare(DispatchState state, ActiveRequest active) {
    SentLoad share = active.progress().share();
    if (share.isNone() || active.progress().instance().isEmpty()) {
      return state;
    }
    return state.withInstances(
        state
            .instances()
            .change(
                active.progress().instance().get(), view -> view.withOwn(view.own().minus(share))));
  }

  private static String inputs(ActiveRequest active, MonotonicTime time) {
    Progress progress = active.progress();
    return "sends="
        + progress.sends()
        + " possible_runs="
        + progress.possibleRuns()
        + " loads_asked="
        + progress.loadRequests()
        + " account="
        + active.account().map(AccountLimits::name).map(ClientAccountName::text).orElse("none")
        + " elapsed_ms="
        + time.since(active.receivedAt()).toMillis();
  }
}
