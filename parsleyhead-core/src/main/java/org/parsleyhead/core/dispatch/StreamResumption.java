package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Keeps a stream whose attempt has ended, and that no instance can resume now, until one can.
 *
 * <p>Stateless and thread-safe. A stream that has started is given up only if it may not be sent
 * again, its service is gone, or its time has passed.
 */
final class StreamResumption {

  /** Interval at which a stream that waits for an instance is dispatched again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private StreamResumption() {}

  /**
   * Returns the wait of a stream that has started; empty if it cannot be resumed any more.
   *
   * @param code why it cannot be resumed now
   */
  static Optional<Step<DispatchState, DispatchEffect>> await(
      DispatchState state, ActiveRequest active, DispatchRefusal.Code code, MonotonicTime time) {
    if (!resumable(state, active, time)) {
      return Optional.empty();
    }
    Progress progress = active.progress().withoutLoadRequests();
    // Without any other instance, one that failed before is better than none.
    Progress next = code == DispatchRefusal.Code.NO_ROOM ? progress : progress.withoutExclusions();
    Duration timeLeft = active.deadline().since(time);
    Duration delay = RETRY_DELAY.compareTo(timeLeft) < 0 ? RETRY_DELAY : timeLeft;
    Step<DispatchState, DispatchEffect> waiting =
        RequestWakes.schedule(state, active.with(next.waiting()), delay);
    return Optional.of(
        progress.phase() == Phase.WAITING
            ? waiting
            : waiting.andThen(
                after ->
                    Step.of(
                        after,
                        new DispatchEffect.ResumptionDelayed(active.request(), code, timeLeft))));
  }

  private static boolean resumable(DispatchState state, ActiveRequest active, MonotonicTime time) {
    return active.progress().responseStarted()
        && active.mayBeSentAgain()
        && !active.expired(time)
        && state.catalogue().service(active.service()).isPresent();
  }
}
