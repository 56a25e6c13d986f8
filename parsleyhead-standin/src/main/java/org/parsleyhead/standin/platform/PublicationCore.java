package org.parsleyhead.standin.platform;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.standin.ServiceMode;
import org.pcollections.PMap;

/**
 * The state transitions of a service that publishes values for readers to read and watch.
 *
 * <p>Stateless and thread-safe. A watch receives a single response: the value as soon as its
 * revision is higher than the reader's, or "unchanged" once the deadline of the watch has passed.
 */
final class PublicationCore
    implements Transition<PublicationState, PublicationEvent, PublicationEffect> {

  @Override
  public Step<PublicationState, PublicationEffect> apply(
      PublicationState state, PublicationEvent event, MonotonicTime time) {
    if (event instanceof PublicationEvent.Put put) {
      return answerWatches(put(state, put), time);
    }
    if (event instanceof PublicationEvent.Delete delete) {
      PMap<String, PublishedValue> current = state.current().minus(delete.path());
      return Step.of(updateValues(state, state.revision() + 1, current));
    }
    if (event instanceof PublicationEvent.Read read) {
      return read(state.withRequestCounted(), read);
    }
    if (event instanceof PublicationEvent.Watch watch) {
      return watch(state.withRequestCounted(), watch, time);
    }
    if (event instanceof PublicationEvent.ConnectionClosed closed) {
      return Step.of(
          state.withWatches(
              state.watches().stream()
                  .filter(pending -> pending.exchange() != closed.exchange())
                  .toList()));
    }
    if (event instanceof PublicationEvent.ModeChanged mode) {
      boolean isStale = mode.change().mode() == ServiceMode.STALE;
      return answerWatches(
          state.withMode(mode.change(), isStale ? state.visible() : state.current()), time);
    }
    return answerWatches(state, time);
  }

  private static PublicationState put(PublicationState state, PublicationEvent.Put put) {
    long revision = put.revision().orElse(state.revision() + 1);
    PublishedValue value = new PublishedValue(revision, put.bytes());
    return updateValues(state, revision, state.current().plus(put.path(), value));
  }

  private static PublicationState updateValues(
      PublicationState state, long revision, PMap<String, PublishedValue> current) {
    boolean isStale = state.mode().mode() == ServiceMode.STALE;
    return state.withValues(revision, current, isStale ? state.visible() : current);
  }

  private static Step<PublicationState, PublicationEffect> read(
      PublicationState state, PublicationEvent.Read read) {
    return switch (state.mode().mode()) {
      case UNAVAILABLE, FAILING ->
          Step.of(state, new PublicationEffect.Unavailable(read.exchange()));
      case SILENT -> Step.of(state);
      default -> Step.of(state, readEffect(state, read.exchange(), read.path()));
    };
  }

  private static PublicationEffect readEffect(PublicationState state, long exchange, String path) {
    PublishedValue value = state.visible().get(path);
    return value == null
        ? new PublicationEffect.Missing(exchange, state.mode().responseDelay())
        : new PublicationEffect.Found(exchange, value, state.mode().responseDelay());
  }

  private static Step<PublicationState, PublicationEffect> watch(
      PublicationState state, PublicationEvent.Watch watch, MonotonicTime time) {
    if (state.mode().mode() == ServiceMode.UNAVAILABLE) {
      return Step.of(state, new PublicationEffect.Unavailable(watch.exchange()));
    }
    List<PublicationState.PendingWatch> watches = new ArrayList<>(state.watches());
    watches.add(
        new PublicationState.PendingWatch(
            watch.exchange(), watch.path(), watch.revision(), time.plus(watch.maximumWait())));
    return answerWatches(state.withWatches(watches), time);
  }

  private static Step<PublicationState, PublicationEffect> answerWatches(
      PublicationState state, MonotonicTime time) {
    if (state.watches().isEmpty() || state.mode().mode() == ServiceMode.SILENT) {
      return Step.of(state);
    }
    List<PublicationState.PendingWatch> remaining = new ArrayList<>();
    List<PublicationEffect> effects = new ArrayList<>();
    for (PublicationState.PendingWatch pending : state.watches()) {
      PublishedValue value = state.visible().get(pending.path());
      if (value != null && value.revision() > pending.revision()) {
        effects.add(readEffect(state, pending.exchange(), pending.path()));
      } else if (pending.deadline().isBefore(time)) {
        effects.add(new PublicationEffect.Unchanged(pending.exchange()));
      } else {
        remaining.add(pending);
      }
    }
    return effects.isEmpty() ? Step.of(state) : new Step<>(state.withWatches(remaining), effects);
  }
}
