package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Calculates how long requests wait for loads and for silent servers.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestTimeouts {

  /**
   * Multiple of the latency target for which a request waits for a load before it is refused with a
   * Retry-After. A response that starts after the target has a third of the value of a timely one.
   */
  private static final double LOAD_LATENCY_TARGET_FACTOR = 0.5;

  /**
   * Fraction of the time until the deadline for which a request waits for a load; with less time
   * left it could not complete before the deadline.
   */
  private static final double LOAD_DEADLINE_FRACTION = 0.4;

  /** Multiple of the latency target after which a silent attempt is replaced if that is allowed. */
  private static final double SILENCE_LATENCY_TARGET_FACTOR = 1.8;

  /** Minimum silence after which a repeatable request is sent to another server. */
  private static final Duration MINIMUM_SILENCE = Duration.ofMillis(400);

  private RequestTimeouts() {}

  /** Returns how long a request waits for a load before it is refused with a Retry-After. */
  static Duration loadTimeout(ActiveRequest active) {
    double target = active.route().latencyTarget().toMillis() * LOAD_LATENCY_TARGET_FACTOR;
    double fraction =
        active.deadline().since(active.receivedAt()).toMillis() * LOAD_DEADLINE_FRACTION;
    return Duration.ofMillis((long) Math.min(target, fraction));
  }

  /**
   * Returns until when a request that has not run waits for a retry: while it can meet its latency
   * target, or for half of the time to its deadline, the rest of which its caller needs to return.
   */
  static MonotonicTime retryWaitEnd(ActiveRequest active) {
    Duration half = active.deadline().since(active.receivedAt()).dividedBy(2);
    Duration target = active.route().latencyTarget();
    return active.receivedAt().plus(half.compareTo(target) > 0 ? half : target);
  }

  /**
   * Returns the delay from a send to the first check whether the server is silent; the time until
   * the deadline if the request may not run again.
   */
  static Duration firstSilenceCheckDelay(ActiveRequest active, MonotonicTime time) {
    Duration untilDeadline = active.deadline().since(time);
    if (!active.mayRunAgain()) {
      return untilDeadline;
    }
    Duration silence =
        Duration.ofMillis(
            Math.max(
                MINIMUM_SILENCE.toMillis(),
                (long)
                    (active.route().latencyTarget().toMillis() * SILENCE_LATENCY_TARGET_FACTOR)));
    return shorter(silence, untilDeadline);
  }

  /** Returns the delay until a silent server is checked again. */
  static Duration nextSilenceCheckDelay(ActiveRequest active, MonotonicTime time) {
    return shorter(MINIMUM_SILENCE, active.deadline().since(time));
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
