package org.parsleyhead.core.request;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;

/**
 * Decides what follows a failed attempt: a retry, a resumed stream or a refusal.
 *
 * <p>Stateless and thread-safe.
 */
final class AttemptRecovery {

  private AttemptRecovery() {}

  static Step<RequestState, RequestEffect> attemptFailed(
      RequestState state,
      ActiveRequest request,
      RequestEvent.AttemptFailed failure,
      MonotonicTime time) {
    RequestIdentifier identifier = request.identifier();
    RequestEffect withdraw =
        new RequestEffect.Withdraw(
            identifier,
            request.attempts().upstream(),
            resultOf(failure.stage()),
            failure.tokensPassed());
    ActiveRequest failed =
        request.with(ActiveRequest.Phase.QUEUED, request.attempts().failed(failure.stage()));
    if (!mayRetry(failed, failure.stage())
        || failed.attempts().count() >= state.settings().maximumAttempts()
        || !time.isBefore(failed.deadline())
        || !state.hasRetryCredit()) {
      Step<RequestState, RequestEffect> refused =
          RequestLifecycle.refuse(
              state,
              failed.withPhase(ActiveRequest.Phase.ADMITTING),
              Refusal.notRun(RefusalCode.UPSTREAM_FAILED, failure.reason()),
              failure.tokensPassed());
      return Step.<RequestState, RequestEffect>of(refused.state(), withdraw)
          .with(refused.effects());
    }
    Step<RequestState, RequestEffect> retried =
        RequestLifecycle.submit(state.withSpentRetryCredit(), failed, time);
    return Step.<RequestState, RequestEffect>of(retried.state(), withdraw).with(retried.effects());
  }

  /**
   * Marks a running request as possibly run. A request in any other phase is returned unchanged.
   */
  static ActiveRequest assumeRunIfSent(ActiveRequest request) {
    return request.phase() == ActiveRequest.Phase.RUNNING
        ? request.with(request.attempts().withMayHaveRun())
        : request;
  }

  /**
   * Returns whether a request may be sent again. A retry must not run a non-idempotent request
   * twice and must not mix two answers: the stream of a model call is resumed after the tokens that
   * were already passed to the caller; any other answer that has started cannot be resumed.
   */
  private static boolean mayRetry(ActiveRequest request, FailureStage stage) {
    if (stage.certainlyNotRun()) {
      return true;
    }
    boolean resumable = !request.attempts().answerStarted() || request.isStreamed();
    return request.route().idempotent() && resumable;
  }

  private static AttemptResult resultOf(FailureStage stage) {
    return switch (stage) {
      case TOO_LATE -> AttemptResult.TOO_LATE;
      case BEFORE_WRITE -> AttemptResult.UNREACHABLE;
      case REFUSED_BY_UPSTREAM -> AttemptResult.ADAPTER_ABSENT;
      default -> AttemptResult.FAILED;
    };
  }
}
