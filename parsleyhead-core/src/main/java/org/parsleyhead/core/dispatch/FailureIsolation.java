package org.parsleyhead.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * Keeps the failure to handle an event of one request from affecting others, and gives its caller a
 * final answer.
 *
 * <p>Immutable and thread-safe. A failure of this host does not end what the event loop goes on
 * with: a request at an instance ends by the end of its attempt or its deadline. Failures of events
 * that belong to no single request are thrown on.
 */
public final class FailureIsolation
    implements Transition<DispatchState, DispatchEvent, DispatchEffect> {

  private final Transition<DispatchState, DispatchEvent, DispatchEffect> isolated;

  /** Creates the isolation of a transition. */
  public FailureIsolation(Transition<DispatchState, DispatchEvent, DispatchEffect> isolated) {
    this.isolated = Preconditions.requireNonNull(isolated, "isolated");
  }

  @Override
  public Step<DispatchState, DispatchEffect> apply(
      DispatchState state, DispatchEvent event, MonotonicTime time) {
    try {
      return isolated.apply(state, event, time);
    } catch (RuntimeException failure) {
      Optional<ServingRequest> request = requestOf(state, event);
      if (request.isEmpty()) {
        throw failure;
      }
      Step<DispatchState, DispatchEffect> failed =
          Step.of(
              state,
              new DispatchEffect.EventFailed(
                  event.getClass().getSimpleName(), request.get().key(), failure));
      return failed.andThen(next -> withoutHandling(next, event, request.get(), time));
    }
  }

  private static Step<DispatchState, DispatchEffect> withoutHandling(
      DispatchState state, DispatchEvent event, ServingRequest request, MonotonicTime time) {
    return Optional.ofNullable(state.requests().get(request.key()))
        .flatMap(active -> continued(state, event, active, time))
        .orElseGet(() -> endRequest(state, event, request));
  }

  /** Returns how a request goes on without the handling of an event; empty if it has to end. */
  private static Optional<Step<DispatchState, DispatchEffect>> continued(
      DispatchState state, DispatchEvent event, ActiveRequest active, MonotonicTime time) {
    if (event instanceof DispatchEvent.ResponseStarted started) {
      return Optional.of(Step.of(withResponseStarted(state, active, started)));
    }
    if (event instanceof DispatchEvent.StreamSilent || event instanceof DispatchEvent.AttemptKept) {
      return Optional.of(Step.of(state));
    }
    if (event instanceof DispatchEvent.AttemptEnded ended) {
      return continuedAfterEnd(state, ended, active, time);
    }
    return event instanceof DispatchEvent.Wake wake
        ? continuedAfterWake(state, wake, active, time)
        : Optional.empty();
  }

  private static DispatchState withResponseStarted(
      DispatchState state, ActiveRequest active, DispatchEvent.ResponseStarted started) {
    return active.atInstance(started.attempt())
        ? state.withRequest(active.with(active.progress().withUncountedResponseStart()))
        : state;
  }

  private static Optional<Step<DispatchState, DispatchEffect>> continuedAfterEnd(
      DispatchState state,
      DispatchEvent.AttemptEnded ended,
      ActiveRequest active,
      MonotonicTime time) {
    if (!active.atInstance(ended.attempt())) {
      return Optional.of(Step.of(state));
    }
    if (ended.result().outcome() == AttemptOutcome.COMPLETED) {
      return Optional.of(RequestCompletion.finish(state, active, time));
    }
    ActiveRequest unassigned = active.withAttemptEnded(ended.result());
    return StreamResumption.await(
        RequestCompletion.withoutAddedLoad(state, active),
        unassigned,
        DispatchRefusal.Code.INTERNAL_ERROR,
        time);
  }

  /** Schedules another wake, so that a request ends at its deadline at the latest. */
  private static Optional<Step<DispatchState, DispatchEffect>> continuedAfterWake(
      DispatchState state, DispatchEvent.Wake wake, ActiveRequest active, MonotonicTime time) {
    if (active.progress().wakeNumber() != wake.wakeNumber()) {
      return Optional.of(Step.of(state));
    }
    boolean goesOn = active.progress().phase() == Phase.SENT || active.progress().responseStarted();
    return goesOn && !active.expired(time)
        ? Optional.of(
            RequestWakes.schedule(
                state,
                active.with(active.progress().withNextWake()),
                RequestTimeouts.nextSilenceCheckDelay(active, time),
                time))
        : Optional.empty();
  }

  private static Step<DispatchState, DispatchEffect> endRequest(
      DispatchState state, DispatchEvent event, ServingRequest request) {
    List<DispatchEffect> effects = new ArrayList<>();
    Optional<ActiveRequest> active = Optional.ofNullable(state.requests().get(request.key()));
    active
        .map(ActiveRequest::progress)
        .filter(progress -> progress.phase() == Phase.SENT)
        .ifPresent(
            progress ->
                effects.add(
                    new DispatchEffect.CancelAttempt(
                        request, progress.attempts(), "internal_error")));
    String inputs = "event=" + event.getClass().getSimpleName();
    boolean started =
        active.map(known -> known.progress().responseStarted()).orElse(false)
            || event instanceof DispatchEvent.AttemptEnded ended
                && ended.result().responseStarted();
    effects.add(
        started
            ? new DispatchEffect.Abort(request, DispatchRefusal.Code.INTERNAL_ERROR.name(), inputs)
            : new DispatchEffect.Refuse(
                request, DispatchRefusal.of(DispatchRefusal.Code.INTERNAL_ERROR), inputs));
    DispatchState next =
        active.map(known -> RequestCompletion.release(state, known, false)).orElse(state);
    return new Step<>(next.withStartup(next.startup().without(request.key())), effects);
  }

  private static Optional<ServingRequest> requestOf(DispatchState state, DispatchEvent event) {
    if (event instanceof DispatchEvent.Received received) {
      return Optional.of(received.request());
    }
    return keyOf(event)
        .flatMap(
            key ->
                Optional.ofNullable(state.requests().get(key))
                    .map(ActiveRequest::request)
                    .or(() -> state.startup().find(key).map(ReceivedRequest::request)));
  }

  private static Optional<Long> keyOf(DispatchEvent event) {
    if (event instanceof DispatchEvent.ResponseStarted started) {
      return Optional.of(started.requestKey());
    }
    if (event instanceof DispatchEvent.StreamSilent silent) {
      return Optional.of(silent.requestKey());
    }
    if (event instanceof DispatchEvent.AttemptKept kept) {
      return Optional.of(kept.requestKey());
    }
    if (event instanceof DispatchEvent.AttemptEnded ended) {
      return Optional.of(ended.requestKey());
    }
    if (event instanceof DispatchEvent.CallerDisconnected disconnected) {
      return Optional.of(disconnected.requestKey());
    }
    return event instanceof DispatchEvent.Wake wake
        ? Optional.of(wake.requestKey())
        : Optional.empty();
  }
}
