package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Handles the progress and the end of attempts, and callers that disconnect.
 *
 * <p>Immutable and thread-safe. A request that must not run twice is never sent again once it may
 * have run.
 */
final class AttemptEventHandler {

  private final RequestDispatcher dispatcher;
  private final QuarantineHandler quarantine;

  AttemptEventHandler(RequestDispatcher dispatcher, QuarantineHandler quarantine) {
    this.dispatcher = dispatcher;
    this.quarantine = quarantine;
  }

  Step<DispatchState, DispatchEffect> onResponseStarted(
      DispatchState state, DispatchEvent.ResponseStarted started, MonotonicTime time) {
    ActiveRequest active = state.requests().get(started.requestKey());
    if (active == null || !active.atInstance(started.attempt())) {
      return Step.of(state);
    }
    InstanceLoad processed =
        new InstanceLoad(0, active.progress().addedLoad().pendingPromptTokens(), 0);
    String instance = active.progress().instance().orElseThrow();
    InstanceTable instances =
        withLoadedAdapter(
            state
                .instances()
                .update(
                    instance,
                    view ->
                        ResponseReports.started(
                            view.withOwnLoad(view.ownLoad().minus(processed)),
                            active,
                            started.load(),
                            time)),
            active,
            time);
    return quarantine.answered(
        state
            .withInstances(instances)
            .withRequest(active.with(active.progress().withResponseStarted())),
        active,
        time);
  }

  /** Resumes a silent stream at another server if one can take it at once; else it stays. */
  Step<DispatchState, DispatchEffect> onStreamSilent(
      DispatchState state, DispatchEvent.StreamSilent silent, MonotonicTime time) {
    ActiveRequest active = state.requests().get(silent.requestKey());
    if (active == null || !active.atInstance(silent.attempt())) {
      return Step.of(state);
    }
    return dispatcher.silentAttempts().leaveSilentServer(state, active, time);
  }

  DispatchState onAttemptKept(DispatchState state, DispatchEvent.AttemptKept kept) {
    ActiveRequest active = state.requests().get(kept.requestKey());
    return active == null || active.progress().attempts() != kept.attempt()
        ? state
        : RequestRetries.refund(state, active);
  }

  Step<DispatchState, DispatchEffect> onAttemptEnded(
      DispatchState state, DispatchEvent.AttemptEnded ended, MonotonicTime time) {
    ActiveRequest active = state.requests().get(ended.requestKey());
    if (active == null || !active.atInstance(ended.attempt())) {
      return Step.of(state);
    }
    if (ended.result().outcome() == AttemptOutcome.WITHDRAWN) {
      return onCurrentAttemptEnded(state, active, ended, time);
    }
    DispatchState returned = RequestRetries.refund(state, active);
    return onCurrentAttemptEnded(returned, returned.requests().get(active.key()), ended, time);
  }

  private Step<DispatchState, DispatchEffect> onCurrentAttemptEnded(
      DispatchState state,
      ActiveRequest active,
      DispatchEvent.AttemptEnded ended,
      MonotonicTime time) {
    AttemptResult result = ended.result();
    DispatchState updated =
        withOutcome(
            RequestCompletion.withoutAddedLoad(state, active), active, result, ended.load(), time);
    if (result.outcome() == AttemptOutcome.COMPLETED) {
      return quarantine
          .answered(updated.withoutRequest(active.key()), active, time)
          .andThen(next -> Step.of(next, RequestCompletion.finished(active, time)));
    }
    ActiveRequest unassigned = active.withAttemptEnded(result);
    return lost(updated.withoutRequest(active.key()), active, result, time)
        .andThen(next -> continueAfter(next.withRequest(unassigned), unassigned, result, time));
  }

  Step<DispatchState, DispatchEffect> onCallerDisconnected(DispatchState state, long key) {
    ActiveRequest active = state.requests().get(key);
    if (active == null) {
      return Step.of(state);
    }
    DispatchState next = RequestCompletion.release(state, active, false);
    if (active.progress().phase() != Phase.SENT) {
      return Step.of(next);
    }
    return Step.of(
        next,
        new DispatchEffect.CancelAttempt(
            active.request(), active.progress().attempts(), "caller_left"));
  }

  private Step<DispatchState, DispatchEffect> lost(
      DispatchState state, ActiveRequest active, AttemptResult result, MonotonicTime time) {
    boolean unanswered = !active.progress().assignment().answering();
    return result
        .lostAt()
        .filter(stage -> unanswered && stage != ResponseStage.CONTENT)
        .map(stage -> quarantine.lost(state, active, stage, time))
        .orElse(Step.of(state));
  }

  private Step<DispatchState, DispatchEffect> continueAfter(
      DispatchState state, ActiveRequest active, AttemptResult result, MonotonicTime time) {
    return switch (result.outcome()) {
      case NOT_SENT, MISDIRECTED, NO_ROOM ->
          StreamResumption.awaitAfterRejection(state, active, time)
              .orElseGet(() -> dispatcher.dispatch(state, active, time));
      case WITHDRAWN -> dispatcher.dispatch(state, active, time);
      case FAILED, BROKEN -> {
        if (active.mayRunAgain() || active.mayReturn()) {
          Step<DispatchState, DispatchEffect> retry = dispatcher.dispatch(state, active, time);
          yield result.responseBuffered() && hasRefusal(retry)
              ? deliver(state, active, result, time)
              : retry;
        }
        yield result.responseBuffered()
            ? deliver(state, active, result, time)
            : dispatcher.refuse(state, active, DispatchRefusal.Code.UPSTREAM_FAILED, time);
      }
      case COMPLETED -> Step.of(state);
    };
  }

  private Step<DispatchState, DispatchEffect> deliver(
      DispatchState state, ActiveRequest active, AttemptResult result, MonotonicTime time) {
    return Step.of(
        RequestCompletion.release(state, active, false),
        new DispatchEffect.DeliverBufferedResponse(active.request(), result.status()));
  }

  private static boolean hasRefusal(Step<DispatchState, DispatchEffect> step) {
    return step.effects().stream().anyMatch(DispatchEffect.Refuse.class::isInstance);
  }

  private DispatchState withOutcome(
      DispatchState state,
      ActiveRequest active,
      AttemptResult result,
      Optional<ReportedLoad> load,
      MonotonicTime time) {
    Optional<ModelWork> work = active.request().work();
    String instance = active.progress().instance().orElseThrow();
    boolean adapterMissing = work.isPresent() && result.outcome() == AttemptOutcome.MISDIRECTED;
    InstanceTable reported =
        state
            .instances()
            .update(
                instance,
                view -> ResponseReports.ended(view, active, result.outcome(), load, time));
    return state.withInstances(
        adapterMissing
            ? dispatcher
                .loads()
                .times()
                .withRejection(reported, instance, work.get().adapter(), time)
            : reported.update(
                instance, view -> view.withHealth(health(view.health(), result, time))));
  }

  private static InstanceHealth health(
      InstanceHealth health, AttemptResult result, MonotonicTime time) {
    return switch (result.outcome()) {
      case COMPLETED -> health.succeeded(time);
      case MISDIRECTED, WITHDRAWN -> health;
      case NO_ROOM, FAILED -> health.failed(time, false);
      case NOT_SENT, BROKEN ->
          health.failed(time, result.status() == 0 && !result.responseStarted());
    };
  }

  private InstanceTable withLoadedAdapter(
      InstanceTable instances, ActiveRequest active, MonotonicTime time) {
    String instance = active.progress().instance().orElseThrow();
    return active
        .request()
        .work()
        .map(
            work ->
                dispatcher.loads().times().withResponse(instances, instance, work.adapter(), time))
        .orElse(instances);
  }
}
