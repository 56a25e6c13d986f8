package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.ticket.RouteItem;

/**
 * The decisions on requests.
 *
 * <p>Stateless and thread-safe. Invariants: a request that is not idempotent is sent at most once,
 * unless the attempt certainly did not run; each reservation is settled exactly once; a refusal
 * says {@link ExecutionOutcome#NOT_RUN} only if no attempt may have run. Events for requests or
 * attempts that have ended change nothing.
 */
public final class RequestTransition
    implements Transition<RequestState, RequestEvent, RequestEffect> {

  @Override
  public Step<RequestState, RequestEffect> apply(
      RequestState state, RequestEvent event, MonotonicTime time) {
    if (event instanceof RequestEvent.Received received) {
      return Reception.receive(state, received.description(), time);
    }
    if (event instanceof RequestEvent.Admitted admitted) {
      return admitted(state, admitted, time);
    }
    if (event instanceof RequestEvent.NotAdmitted refused) {
      return notAdmitted(state, refused);
    }
    if (event instanceof RequestEvent.RepeatChecked checked) {
      return repeatChecked(state, checked, time);
    }
    if (event instanceof RequestEvent.Dispatched dispatched) {
      return dispatched(state, dispatched);
    }
    if (event instanceof RequestEvent.NotDispatched refused) {
      return notDispatched(state, refused, time);
    }
    if (event instanceof RequestEvent.AnswerStarted started) {
      return onAttempt(
          state,
          started.identifier(),
          started.attempt(),
          (current, request) ->
              Step.of(current.with(request.with(request.attempts().withAnswerStarted()))));
    }
    if (event instanceof RequestEvent.AnswerFinished finished) {
      return onAttempt(
          state,
          finished.identifier(),
          finished.attempt(),
          (current, request) -> finished(current, request, finished.tokens()));
    }
    if (event instanceof RequestEvent.AttemptFailed failed) {
      return onAttempt(
          state,
          failed.identifier(),
          failed.attempt(),
          (current, request) -> Recovery.attemptFailed(current, request, failed, time));
    }
    if (event instanceof RequestEvent.CallerGone gone) {
      return callerGone(state, gone);
    }
    if (event instanceof RequestEvent.CatalogueChanged changed) {
      return catalogueChanged(state, changed);
    }
    return tick(state, time);
  }

  private static Step<RequestState, RequestEffect> admitted(
      RequestState state, RequestEvent.Admitted event, MonotonicTime time) {
    return inPhase(state, event.identifier(), ActiveRequest.Phase.ADMITTING)
        .map(request -> Progress.afterAdmission(state, request, time))
        .orElseGet(() -> Step.of(state));
  }

  private static Step<RequestState, RequestEffect> notAdmitted(
      RequestState state, RequestEvent.NotAdmitted event) {
    return inPhase(state, event.identifier(), ActiveRequest.Phase.ADMITTING)
        .map(
            request ->
                Step.<RequestState, RequestEffect>of(
                    state.without(event.identifier()),
                    new RequestEffect.Refuse(event.identifier(), rateRefusal(event))))
        .orElseGet(() -> Step.of(state));
  }

  private static Refusal rateRefusal(RequestEvent.NotAdmitted event) {
    return event.permanent()
        ? Refusal.notRun(
            RefusalCode.EXCEEDS_BURST, "the request can never fit the client account's burst")
        : Refusal.notRun(
            RefusalCode.RATE_LIMITED, "the client account's rate is used up", event.retryAfter());
  }

  private static Step<RequestState, RequestEffect> repeatChecked(
      RequestState state, RequestEvent.RepeatChecked event, MonotonicTime time) {
    Optional<ActiveRequest> found =
        inPhase(state, event.identifier(), ActiveRequest.Phase.CHECKING_REPEAT);
    if (found.isEmpty()) {
      return Step.of(state);
    }
    return switch (event.result()) {
      case FIRST -> Progress.submit(state, found.get(), time);
      case DUPLICATE ->
          Progress.refuse(
              state,
              found.get(),
              Refusal.unknown(
                  RefusalCode.DUPLICATE_REQUEST,
                  "the same request was received before and may have run"),
              0);
      case UNAVAILABLE ->
          Progress.refuse(
              state,
              found.get(),
              Refusal.unknown(
                  RefusalCode.REPEAT_CHECK_UNAVAILABLE,
                  "it cannot be decided now whether the request was received before"),
              0);
    };
  }

  private static Step<RequestState, RequestEffect> dispatched(
      RequestState state, RequestEvent.Dispatched event) {
    Optional<ActiveRequest> found = inPhase(state, event.identifier(), ActiveRequest.Phase.QUEUED);
    if (found.isEmpty()) {
      return Step.of(
          state,
          new RequestEffect.Withdraw(
              event.identifier(),
              Optional.of(event.upstream().name()),
              AttemptResult.CANCELLED,
              0));
    }
    ActiveRequest sent =
        found
            .get()
            .with(
                ActiveRequest.Phase.RUNNING, found.get().attempts().next(event.upstream().name()));
    return Step.of(
        state.with(sent),
        new RequestEffect.Send(
            event.identifier(),
            sent.attempts().count(),
            event.upstream(),
            sent.adapter(),
            writeBefore(event, sent),
            sent.route().idempotent()));
  }

  /** A request that is not idempotent is written only while its check for repetition counts. */
  private static MonotonicTime writeBefore(RequestEvent.Dispatched event, ActiveRequest request) {
    MonotonicTime limit =
        request.route().idempotent()
            ? request.deadline()
            : request.received().plus(RequestSettings.REPEAT_CHECK_VALIDITY);
    return event.writeBefore().isBefore(limit) ? event.writeBefore() : limit;
  }

  /** Where nothing but the upstream that failed last is left, that one is tried again. */
  private static Step<RequestState, RequestEffect> notDispatched(
      RequestState state, RequestEvent.NotDispatched event, MonotonicTime time) {
    Optional<ActiveRequest> found = inPhase(state, event.identifier(), ActiveRequest.Phase.QUEUED);
    if (found.isEmpty()) {
      return Step.of(state);
    }
    ActiveRequest request = found.get();
    if (!request.attempts().excluded().isEmpty()) {
      return Progress.submit(state, request.with(request.attempts().withoutExclusion()), time);
    }
    Refusal refusal =
        new Refusal(
            RefusalCode.UPSTREAM_UNAVAILABLE,
            event.reason(),
            ExecutionOutcome.NOT_RUN,
            event.retryAfter());
    return Progress.refuse(state, request, refusal, 0);
  }

  private static Step<RequestState, RequestEffect> finished(
      RequestState state, ActiveRequest request, long tokens) {
    RequestIdentifier identifier = request.identifier();
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(
        new RequestEffect.Withdraw(
            identifier, request.attempts().upstream(), AttemptResult.FINISHED, tokens));
    if (request.clientAccount().isPresent()) {
      long used = request.isModelCall() ? tokens : state.settings().plainCallTokens();
      effects.add(new RequestEffect.Settle(identifier, request.clientAccount().get(), used));
    }
    return new Step<>(state.without(identifier), effects);
  }

  private static Step<RequestState, RequestEffect> callerGone(
      RequestState state, RequestEvent.CallerGone event) {
    return state
        .find(event.identifier())
        .map(
            request ->
                new Step<>(
                    state.without(event.identifier()),
                    Progress.release(
                        state,
                        Recovery.assumeRun(request),
                        AttemptResult.CANCELLED,
                        event.tokensPassed())))
        .orElseGet(() -> Step.of(state));
  }

  private static Step<RequestState, RequestEffect> catalogueChanged(
      RequestState state, RequestEvent.CatalogueChanged event) {
    Step<RequestState, RequestEffect> step = Step.of(state.with(event.catalogue()));
    for (ActiveRequest request : state.active().values()) {
      boolean withdrawn =
          request
              .description()
              .key()
              .filter(key -> event.withdrawnKeys().contains(key.digest()))
              .isPresent();
      if (withdrawn && request.route().access() != RouteItem.Access.OPEN) {
        Step<RequestState, RequestEffect> refused =
            Progress.refuse(
                step.state(),
                Recovery.assumeRun(request),
                Refusal.notRun(RefusalCode.KEY_UNKNOWN, "the key was withdrawn"),
                0);
        step =
            new Step<RequestState, RequestEffect>(refused.state(), step.effects())
                .with(refused.effects());
      }
    }
    return step;
  }

  private static Step<RequestState, RequestEffect> tick(RequestState state, MonotonicTime time) {
    Step<RequestState, RequestEffect> step = Step.of(state);
    Duration decisionTimeout = state.settings().decisionTimeout();
    for (ActiveRequest request : state.active().values()) {
      boolean deciding =
          request.phase() == ActiveRequest.Phase.ADMITTING
              || request.phase() == ActiveRequest.Phase.CHECKING_REPEAT;
      boolean late =
          !time.isBefore(request.deadline())
              || deciding && time.since(request.received()).compareTo(decisionTimeout) > 0;
      if (late) {
        Step<RequestState, RequestEffect> refused = deadlineExceeded(step.state(), request);
        step =
            new Step<RequestState, RequestEffect>(refused.state(), step.effects())
                .with(refused.effects());
      }
    }
    return step;
  }

  private static Step<RequestState, RequestEffect> deadlineExceeded(
      RequestState state, ActiveRequest request) {
    return Progress.refuse(
        state,
        Recovery.assumeRun(request),
        Refusal.notRun(RefusalCode.DEADLINE_EXCEEDED, "the deadline of the route passed"),
        0);
  }

  private static Optional<ActiveRequest> inPhase(
      RequestState state, RequestIdentifier identifier, ActiveRequest.Phase phase) {
    return state.find(identifier).filter(request -> request.phase() == phase);
  }

  private static Step<RequestState, RequestEffect> onAttempt(
      RequestState state,
      RequestIdentifier identifier,
      int attempt,
      BiFunction<RequestState, ActiveRequest, Step<RequestState, RequestEffect>> decision) {
    return inPhase(state, identifier, ActiveRequest.Phase.RUNNING)
        .filter(request -> request.attempts().count() == attempt)
        .map(request -> decision.apply(state, request))
        .orElseGet(() -> Step.of(state));
  }
}
