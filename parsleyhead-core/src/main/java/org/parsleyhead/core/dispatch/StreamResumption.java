package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Keeps a stream whose attempt has ended, and that no instance can resume now, until one can.
 *
 * <p>Stateless and thread-safe. A stream that has started is given up only if it may not be sent
 * again, or its time has passed. The catalogue has no say: a service that is gone may come back.
 */
final class StreamResumption {

  /** Interval at which a stream that waits for an instance is dispatched again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /** Bounds the delay, which doubles with each attempt beyond those that are sent at once. */
  private static final int MAXIMUM_DOUBLINGS = 4;

  private StreamResumption() {}

  /**
   * Returns the wait of a stream that has started and was rejected by many instances; empty if it
   * may be sent again at once.
   */
  static Optional<Step<DispatchState, DispatchEffect>> awaitAfterRejection(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return active.progress().attempts() < ActiveRequest.MAXIMUM_ATTEMPTS
        ? Optional.empty()
        : await(state, active, DispatchRefusal.Code.NO_ROOM, time);
  }

  /**
   * Returns the wait of a stream that has started; empty if it cannot be resumed any more.
   *
   * @param code why it cannot be resumed now
   */
  static Optional<Step<DispatchState, DispatchEffect>> await(
      DispatchState state, ActiveRequest active, DispatchRefusal.Code code, MonotonicTime time) {
    if (!resumable(active, time)) {
      return Optional.empty();
    }
    Progress progress = active.progress();
    // Without any other instance, one that failed before is better than none.
    Progress next = withoutInstance(code) ? progress.withoutExclusions() : progress;
    Duration timeLeft = active.deadline().since(time);
    Duration retryDelay = retryDelay(progress.attempts());
    Duration delay = retryDelay.compareTo(timeLeft) < 0 ? retryDelay : timeLeft;
    Step<DispatchState, DispatchEffect> waiting =
        RequestWakes.schedule(state, active.with(next.waiting()), delay, time);
    return Optional.of(
        progress.phase() == Phase.WAITING
            ? waiting
            : waiting.andThen(
                after ->
                    Step.of(
                        after,
                        new DispatchEffect.ResumptionDelayed(active.request(), code, timeLeft))));
  }

  /** Returns whether a code states that no other instance can be used. */
  private static boolean withoutInstance(DispatchRefusal.Code code) {
    return code == DispatchRefusal.Code.NO_INSTANCE
        || code == DispatchRefusal.Code.ADAPTER_UNAVAILABLE;
  }

  private static Duration retryDelay(int attempts) {
    int doublings = Math.max(0, attempts - ActiveRequest.MAXIMUM_ATTEMPTS);
    return RETRY_DELAY.multipliedBy(1L << Math.min(doublings, MAXIMUM_DOUBLINGS));
  }

  private static boolean resumable(ActiveRequest active, MonotonicTime time) {
    return active.progress().responseStarted() && active.mayBeSentAgain() && !active.expired(time);
  }
}
