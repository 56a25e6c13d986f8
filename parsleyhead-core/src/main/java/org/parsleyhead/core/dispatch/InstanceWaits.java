package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.overload.WaitLine;

/**
 * Handles requests for which no instance can be used now: lets them wait while one is expected in
 * time, and refuses the others.
 *
 * <p>Immutable and thread-safe.
 */
final class InstanceWaits {

  /** Interval at which a request without a usable instance is dispatched again. */
  private static final Duration INSTANCE_RETRY_DELAY = Duration.ofMillis(60);

  /** Expected delay until a server has free capacity; most requests take about as long. */
  private static final Duration EXPECTED_CAPACITY_DELAY = Duration.ofMillis(150);

  private final DispatchSettings settings;
  private final WaitingRequests waiting;

  InstanceWaits(DispatchSettings settings, WaitingRequests waiting) {
    this.settings = settings;
    this.waiting = waiting;
  }

  /** Lets a request wait that no instance can take now, or refuses it. */
  Step<DispatchState, DispatchEffect> await(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!active.progress().excludedInstances().isEmpty() && active.progress().possibleRuns() == 0) {
      ActiveRequest retried = active.with(active.progress().withoutExclusions().waiting());
      return RequestWakes.schedule(state, retried, INSTANCE_RETRY_DELAY, time);
    }
    boolean starting =
        state.startup().open(time) && state.instances().ofService(active.service()).isEmpty();
    if (starting) {
      return RequestWakes.schedule(
          state, active.with(active.progress().waiting()), INSTANCE_RETRY_DELAY, time);
    }
    return untilAccepted(state, active, time)
        .map(delay -> awaitAcceptance(state, active, delay, time))
        .orElseGet(() -> awaitOther(state, active, time));
  }

  /** Lets a withdrawn request wait for any server while its caller still has time to repeat it. */
  private Step<DispatchState, DispatchEffect> awaitOther(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Duration waited = time.since(active.receivedAt()).plus(INSTANCE_RETRY_DELAY);
    boolean waits =
        active.progress().history().retryReserved()
            && !active.progress().responseStarted()
            && settings.waitPolicy().waits(waited, active.deadline().since(active.receivedAt()));
    return waits
        ? RequestWakes.schedule(
            state,
            active.with(active.progress().withoutExclusions().waiting()),
            INSTANCE_RETRY_DELAY,
            time)
        : RequestCompletion.fail(
            state,
            active,
            DispatchRefusal.Code.NO_INSTANCE,
            settings.retryAfter().retryAfter(EXPECTED_CAPACITY_DELAY, active.request().hash()),
            time);
  }

  /** Returns when the first instance accepts requests again; empty if none says so. */
  private static Optional<Duration> untilAccepted(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return state.instances().ofService(active.service()).stream()
        .filter(view -> view.acceptsRequests() && view.health().refuses(time))
        .map(view -> view.health().refusesUntil().since(time))
        .min(Comparator.naturalOrder());
  }

  private Step<DispatchState, DispatchEffect> awaitAcceptance(
      DispatchState state, ActiveRequest active, Duration delay, MonotonicTime time) {
    if (settings.waitPolicy().waits(delay, active.deadline().since(time))) {
      return waiting.enqueue(
          state,
          active,
          new WaitLine(WaitLine.Capacity.SERVER, active.service()),
          time.plus(delay),
          time);
    }
    Duration retryAfter = settings.retryAfter().retryAfter(delay, active.request().hash());
    return RequestCompletion.fail(state, active, DispatchRefusal.Code.NO_ROOM, retryAfter, time);
  }
}
