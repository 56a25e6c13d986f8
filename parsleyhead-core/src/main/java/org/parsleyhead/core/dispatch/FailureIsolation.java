package org.parsleyhead.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

/**
 * Ends the request whose event a transition fails to handle, so that its caller gets a final answer
 * and no other request is affected.
 *
 * <p>Immutable and thread-safe. Failures of events that belong to no single request are thrown on.
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
      return endRequest(state, event, request.get(), failure);
    }
  }

  private static Step<DispatchState, DispatchEffect> endRequest(
      DispatchState state, DispatchEvent event, ServingRequest request, RuntimeException failure) {
    List<DispatchEffect> effects = new ArrayList<>();
    effects.add(
        new DispatchEffect.EventFailed(event.getClass().getSimpleName(), request.key(), failure));
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
    boolean started = active.map(known -> known.progress().responseStarted()).orElse(false);
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
