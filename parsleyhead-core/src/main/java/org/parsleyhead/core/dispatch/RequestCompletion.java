package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.quarantine.Verdict;
import org.parsleyhead.core.serving.AccountLimits;

/**
 * Completes requests and releases the load, the account units and the retry that they occupy.
 *
 * <p>Stateless and thread-safe. A refusal states that a request has not run only if that is
 * certain.
 */
final class RequestCompletion {

  private RequestCompletion() {}

  /**
   * Fails a request that cannot be retried now: refuses it with a code that is true for it. A
   * response that has started waits if it may still be resumed, and is aborted otherwise.
   *
   * @param code the code of the refusal if the request has not run
   * @param retryAfter when the caller should retry if the request has not run
   */
  static Step<DispatchState, DispatchEffect> fail(
      DispatchState state,
      ActiveRequest active,
      DispatchRefusal.Code code,
      Duration retryAfter,
      MonotonicTime time) {
    return awaitOrEnd(state, active, code, retryAfter, inputs(active, time), time);
  }

  /**
   * Fails a request as {@link #fail(DispatchState, ActiveRequest, DispatchRefusal.Code, Duration,
   * MonotonicTime)} does, and logs why.
   *
   * @param cause the inputs of the decision, for the log
   */
  static Step<DispatchState, DispatchEffect> fail(
      DispatchState state,
      ActiveRequest active,
      DispatchRefusal.Code code,
      Duration retryAfter,
      String cause,
      MonotonicTime time) {
    return awaitOrEnd(state, active, code, retryAfter, cause + " " + inputs(active, time), time);
  }

  /**
   * Fails a request because of a trait, and logs which one. A response that has started waits until
   * the restriction ends, if it may still be resumed then.
   */
  static Step<DispatchState, DispatchEffect> refuse(
      DispatchState state, ActiveRequest active, Verdict verdict, MonotonicTime time) {
    return awaitOrEnd(
        state,
        active,
        DispatchRefusal.Code.QUARANTINED,
        verdict.retryAfter(),
        verdict.inputs() + " " + inputs(active, time),
        time);
  }

  private static Step<DispatchState, DispatchEffect> awaitOrEnd(
      DispatchState state,
      ActiveRequest active,
      DispatchRefusal.Code code,
      Duration retryAfter,
      String inputs,
      MonotonicTime time) {
    return StreamResumption.await(state, active, code, time)
        .orElseGet(() -> end(state, active, code, retryAfter, inputs));
  }

  private static Step<DispatchState, DispatchEffect> end(
      DispatchState state,
      ActiveRequest active,
      DispatchRefusal.Code code,
      Duration retryAfter,
      String inputs) {
    boolean mayHaveRun = active.progress().possibleRuns() > 0;
    DispatchState next = release(state, active, !mayHaveRun);
    if (active.progress().responseStarted()) {
      return Step.of(next, new DispatchEffect.Abort(active.request(), code.name(), inputs));
    }
    DispatchRefusal refusal =
        mayHaveRun
            ? DispatchRefusal.of(
                code == DispatchRefusal.Code.TIMED_OUT
                    ? code
                    : DispatchRefusal.Code.UPSTREAM_FAILED)
            : DispatchRefusal.withRetryAfter(code, retryAfter);
    return Step.of(next, new DispatchEffect.Refuse(active.request(), refusal, inputs));
  }

  /** Completes a request whose caller has the whole response. */
  static Step<DispatchState, DispatchEffect> finish(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return Step.of(release(state, active, false), finished(active, time));
  }

  /** Returns the report that the caller of a request has the whole response. */
  static DispatchEffect finished(ActiveRequest active, MonotonicTime time) {
    return new DispatchEffect.Finished(
        active.request(), active.progress().attempts(), time.since(active.receivedAt()));
  }

  /**
   * Returns the state without a request.
   *
   * @param refund whether its units are refunded to the account, since it has not run
   */
  static DispatchState release(DispatchState state, ActiveRequest active, boolean refund) {
    DispatchState next =
        RequestRetries.refund(withoutAddedLoad(state, active), active).withoutRequest(active.key());
    if (!refund || active.account().isEmpty()) {
      return next;
    }
    String name = active.account().get().name().text();
    AccountBucket bucket = next.buckets().get(name);
    return bucket == null ? next : next.withBucket(name, bucket.refund(active.units()));
  }

  /** Returns the state without the load that a request adds to its instance. */
  static DispatchState withoutAddedLoad(DispatchState state, ActiveRequest active) {
    InstanceLoad load = active.progress().addedLoad();
    if (load.isNone() || active.progress().instance().isEmpty()) {
      return state;
    }
    return state.withInstances(
        state
            .instances()
            .update(
                active.progress().instance().get(),
                view -> view.withOwnLoad(view.ownLoad().minus(load))));
  }

  private static String inputs(ActiveRequest active, MonotonicTime time) {
    Progress progress = active.progress();
    return "admitted_by="
        + active.catalogueVersion()
        + " sends="
        + progress.attempts()
        + " possible_runs="
        + progress.possibleRuns()
        + " loads_asked="
        + progress.loads().count()
        + " account="
        + active.account().map(AccountLimits::name).map(ClientAccountName::text).orElse("none")
        + " elapsed_ms="
        + time.since(active.receivedAt()).toMillis()
        + " left_ms="
        + active.deadline().since(time).toMillis();
  }
}
