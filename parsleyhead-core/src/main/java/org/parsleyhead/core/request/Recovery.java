package org.parsleyhead.core.request;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;

/**
 * Decides what follows a failed attempt: another attempt, a resumed stream or a refusal.
 *
 * <p>Stateless and thread-safe.
 */
final class Recovery {

  private Recovery() {}

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
    if (!mayRepeat(failed, failure.stage())
        || failed.attempts().count() >= state.settings().maximumAttempts()
        || !time.isBefore(failed.deadline())
        || !state.hasRetryCredit()) {
      Step<RequestState, RequestEffect> refused =
          Progress.refuse(
              state,
              failed.in(ActiveRequest.Phase.ADMITTING),
              Refusal.notRun(RefusalCode.UPSTREAM_FAILED, failure.reason()),
              failure.tokensPassed());
      return Step.<RequestState, RequestEffect>of(refused.state(), withdraw)
          .with(refused.effects());
    }
    Step<RequestState, RequestEffect> retried = Progress.submit(state.spendRetry(), failed, time);
    return Step.<RequestState, RequestEffect>of(retried.state(), withdraw).with(retried.effects());
  }

  /** Returns the request as one that may have run, if it was ever sent. */
  static ActiveRequest assumeRun(ActiveRequest request) {
    return request.phase() == ActiveRequest.Phase.RUNNING
        ? request.with(request.attempts().withMayHaveRun())
        : request;
  }

  /**
   * Tells whether another attempt cannot run a request twice that must not be, nor mix answers:
   * streams of model calls are resumed behind what was passed, other answers are not.
   */
  private static boolean mayRepeat(ActiveRequest request, FailureStage stage) {
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
