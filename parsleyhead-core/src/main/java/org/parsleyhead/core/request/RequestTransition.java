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
 * Decides how events change the active requests of this host and which effects follow.
 *
 * <p>Stateless and thread-safe. Invariants: a request that is not idempotent is sent again only if
 * all earlier attempts certainly did not run; each reservation is settled or released exactly once;
 * a refusal reports {@link ExecutionOutcome#NOT_RUN} only if no attempt may have run. Events for
 * requests or attempts that have already ended change nothing, except that a late dispatch is
 * withdrawn.
 */
public final class RequestTransition
    implements Transition<RequestState, RequestEvent, RequestEffect> {

  @Override
  public Step<RequestState, RequestEffect> apply(
      RequestState state, RequestEvent event, MonotonicTime time) {
    if (event instanceof RequestEvent.Received received) {
      return RequestAdmission.receive(state, received.description(), time);
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
      return applyToAttempt(
          state,
          started.identifier(),
          started.attempt(),
          (current, request) ->
              Step.of(current.with(request.with(request.attempts().withAnswerStarted()))));
    }
    if (event instanceof RequestEvent.AnswerFinished finished) {
      return applyToAttempt(
          state,
          finished.identifier(),
          finished.attempt(),
          (current, request) -> finished(current, request, finished.tokens()));
    }
    if (event instanceof RequestEvent.AttemptFailed failed) {
      return applyToAttempt(
          state,
          failed.identifier(),
          failed.attempt(),
          (current, request) -> AttemptRecovery.attemptFailed(current, request, failed, time));
    }
    if (event instanceof RequestEvent.CallerDisconnected disconnected) {
      return callerDisconnected(state, disconnected);
    }
    if (event instanceof RequestEvent.CatalogueChanged changed) {
      return catalogueChanged(state, changed);
    }
    return tick(state, time);
  }

  private static Step<RequestState, RequestEffect> admitted(
      RequestState state, RequestEvent.Admitted event, MonotonicTime time) {
    return findInPhase(state, event.identifier(), ActiveRequest.Phase.ADMITTING)
        .map(request -> RequestLifecycle.checkRepeatOrSubmit(state, request, time))
        .orElseGet(() -> Step.of(state));
  }

  private static Step<RequestState, RequestEffect> notAdmitted(
      RequestState state, RequestEvent.NotAdmitted event) {
    return findInPhase(state, event.identifier(), ActiveRequest.Phase.ADMITTING)
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
        findInPhase(state, event.identifier(), ActiveRequest.Phase.CHECKING_REPEAT);
    if (found.isEmpty()) {
      return Step.of(state);
    }
    return switch (event.result()) {
      case FIRST -> RequestLifecycle.submit(state, found.get(), time);
      case DUPLICATE ->
          RequestLifecycle.refuse(
              state,
              found.get(),
              Refusal.unknown(
                  RefusalCode.DUPLICATE_REQUEST,
                  "the same request was received before and may have run"),
              0);
      case UNAVAILABLE ->
          RequestLifecycle.refuse(
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
    Optional<ActiveRequest> found =
        findInPhase(state, event.identifier(), ActiveRequest.Phase.QUEUED);
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
            writeDeadline(event, sent),
            sent.route().idempotent()));
  }

  /**
   * Returns the time after which a request must not be written. A request that is not idempotent
   * must be written while its repeat check is valid.
   */
  private static MonotonicTime writeDeadline(RequestEvent.Dispatched event, ActiveRequest request) {
    MonotonicTime limit =
        request.route().idempotent()
            ? request.deadline()
            : request.received().plus(RequestSettings.REPEAT_CHECK_VALIDITY);
    return event.writeDeadline().isBefore(limit) ? event.writeDeadline() : limit;
  }

  /** Retries the upstream of the latest failed attempt if no other upstream can be chosen. */
  private static Step<RequestState, RequestEffect> notDispatched(
      RequestState state, RequestEvent.NotDispatched event, MonotonicTime time) {
    Optional<ActiveRequest> found =
        findInPhase(state, event.identifier(), ActiveRequest.Phase.QUEUED);
    if (found.isEmpty()) {
      return Step.of(state);
    }
    ActiveRequest request = found.get();
    if (!request.attempts().excluded().isEmpty()) {
      return RequestLifecycle.submit(
          state, request.with(request.attempts().withoutExclusion()), time);
    }
    Refusal refusal =
        new Refusal(
            RefusalCode.UPSTREAM_UNAVAILABLE,
            event.reason(),
            ExecutionOutcome.NOT_RUN,
            event.retryAfter());
    return RequestLifecycle.refuse(state, request, refusal, 0);
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

  private static Step<RequestState, RequestEffect> callerDisconnected(
      RequestState state, RequestEvent.CallerDisconnected event) {
    return state
        .find(event.identifier())
        .map(
            request ->
                new Step<>(
                    state.without(event.identifier()),
                    RequestLifecycle.release(
                        state,
                        AttemptRecovery.assumeRunIfSent(request),
                        AttemptResult.CANCELLED,
                        event.tokensPassed())))
        .orElseGet(() -> Step.of(state));
  }

  private static Step<RequestState, RequestEffect> catalogueChanged(
      RequestState state, RequestEvent.CatalogueChanged event) {
    Step<RequestState, RequestEffect> step = Step.of(state.with(event.catalogue()));
    for (ActiveRequest request : state.active().values()) {
      boolean keyRevoked =
          request
              .description()
              .key()
              .filter(key -> event.revokedKeys().contains(key.digest()))
              .isPresent();
      if (keyRevoked && request.route().access() != RouteItem.Access.OPEN) {
        Step<RequestState, RequestEffect> refused =
            RequestLifecycle.refuse(
                step.state(),
                AttemptRecovery.assumeRunIfSent(request),
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
      boolean awaitsDecision =
          request.phase() == ActiveRequest.Phase.ADMITTING
              || request.phase() == ActiveRequest.Phase.CHECKING_REPEAT;
      boolean expired =
          !time.isBefore(request.deadline())
              || awaitsDecision && time.since(request.received()).compareTo(decisionTimeout) > 0;
      if (expired) {
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
    return RequestLifecycle.refuse(
        state,
        AttemptRecovery.assumeRunIfSent(request),
        Refusal.notRun(RefusalCode.DEADLINE_EXCEEDED, "the deadline of the route passed"),
        0);
  }

  private static Optional<ActiveRequest> findInPhase(
      RequestState state, RequestIdentifier identifier, ActiveRequest.Phase phase) {
    return state.find(identifier).filter(request -> request.phase() == phase);
  }

  /** Applies a decision if an event concerns the running attempt; ignores any other attempt. */
  private static Step<RequestState, RequestEffect> applyToAttempt(
      RequestState state,
      RequestIdentifier identifier,
      int attempt,
      BiFunction<RequestState, ActiveRequest, Step<RequestState, RequestEffect>> decision) {
    return findInPhase(state, identifier, ActiveRequest.Phase.RUNNING)
        .filter(request -> request.attempts().count() == attempt)
        .map(request -> decision.apply(state, request))
        .orElseGet(() -> Step.of(state));
  }
}
