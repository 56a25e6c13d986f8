package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.Priority;

/**
 * Moves an active request from phase to phase and ends it.
 *
 * <p>Stateless and thread-safe.
 */
final class Progress {

  private Progress() {}

  static Step<RequestState, RequestEffect> afterAdmission(
      RequestState state, ActiveRequest request, MonotonicTime time) {
    if (request.route().idempotent()) {
      return submit(state, request, time);
    }
    return Step.of(
        state.with(request.in(ActiveRequest.Phase.CHECKING_REPEAT)),
        new RequestEffect.CheckRepeat(request.identifier(), repeatKey(request)));
  }

  static Step<RequestState, RequestEffect> submit(
      RequestState state, ActiveRequest request, MonotonicTime time) {
    RequestIdentifier identifier = request.identifier();
    RequestState next = state.with(request.in(ActiveRequest.Phase.QUEUED));
    if (!request.isModelCall()) {
      return Step.of(
          next,
          new RequestEffect.SubmitPlainCall(
              identifier, request.route(), request.attempts().excluded()));
    }
    ModelCall call = request.description().modelCall().orElseThrow();
    Duration remaining = request.deadline().since(time);
    return Step.of(
        next,
        new RequestEffect.SubmitModelCall(
            identifier,
            request.adapter().orElseThrow(),
            request.clientAccount(),
            call,
            priorityOf(request, call),
            remaining,
            request.attempts().excluded()));
  }

  /** Ends a request that was not answered in full. */
  static Step<RequestState, RequestEffect> refuse(
      RequestState state, ActiveRequest request, Refusal refusal, int tokensPassed) {
    Refusal honest =
        request.attempts().mayHaveRun()
            ? new Refusal(
                refusal.code(), refusal.message(), ExecutionOutcome.UNKNOWN, Optional.empty())
            : refusal;
    List<RequestEffect> effects = release(request, AttemptResult.CANCELLED, tokensPassed);
    effects.add(new RequestEffect.Refuse(request.identifier(), honest));
    return new Step<>(state.without(request.identifier()), effects);
  }

  /** Returns the effects that free what a request holds: attempt, queue place and reservation. */
  static List<RequestEffect> release(
      ActiveRequest request, AttemptResult result, int tokensPassed) {
    RequestIdentifier identifier = request.identifier();
    List<RequestEffect> effects = new ArrayList<>();
    if (request.phase() == ActiveRequest.Phase.RUNNING) {
      effects.add(new RequestEffect.CancelAttempt(identifier, request.attempts().count()));
    }
    if (request.phase() == ActiveRequest.Phase.RUNNING
        || request.phase() == ActiveRequest.Phase.QUEUED) {
      effects.add(
          new RequestEffect.Withdraw(identifier, runningUpstream(request), result, tokensPassed));
    }
    if (!request.route().idempotent() && !request.attempts().mayHaveRun()) {
      effects.add(new RequestEffect.ForgetRepeat(identifier));
    }
    if (request.clientAccount().isPresent()) {
      effects.add(new RequestEffect.Settle(identifier, usedTokens(request, tokensPassed)));
    }
    return effects;
  }

  private static Optional<UpstreamName> runningUpstream(ActiveRequest request) {
    return request.phase() == ActiveRequest.Phase.RUNNING
        ? request.attempts().upstream()
        : Optional.empty();
  }

  /** Returns an upper bound of the tokens that an unfinished request used. */
  private static long usedTokens(ActiveRequest request, int tokensPassed) {
    if (!request.attempts().mayHaveRun()) {
      return 0;
    }
    return request
        .description()
        .modelCall()
        .filter(call -> request.isModelCall())
        .map(
            call ->
                request.isStreamed() && request.attempts().answerStarted()
                    ? (long) call.promptTokens() + tokensPassed
                    : call.totalTokens())
        .orElse(Long.MAX_VALUE);
  }

  private static String repeatKey(ActiveRequest request) {
    String account = request.clientAccount().map(name -> name.text()).orElse("");
    String repetition =
        request
            .description()
            .idempotencyKey()
            .map(key -> "key:" + key)
            .orElseGet(() -> "content:" + request.description().contentDigest());
    return request.route().name() + "/" + account + "/" + repetition;
  }

  private static Priority priorityOf(ActiveRequest request, ModelCall call) {
    return request.route().priority() == Priority.BATCH ? Priority.BATCH : call.priority();
  }
}
