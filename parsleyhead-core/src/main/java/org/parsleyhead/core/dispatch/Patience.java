package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * How long requests wait.
 *
 * <p>Stateless and thread-safe.
 */
final class Patience {

  /**
   * Part of the latency target for which a request waits for a load before its caller is asked to
   * come back: answers that begin later than the target are worth a third.
   */
  private static final double PATIENCE_FACTOR = 0.5;

  /** Part of its time for which a request waits for a load; later it could not end in time. */
  private static final double PATIENCE_PART = 0.4;

  /** A send that stays silent for this multiple of the latency target is given up if it may be. */
  private static final double SILENCE_FACTOR = 1.8;

  /** Shortest silence after which a repeatable request is sent elsewhere. */
  private static final Duration SHORTEST_SILENCE = Duration.ofMillis(400);

  private Patience() {}

  /** Returns how long a request waits for a load before its caller is asked to come back. */
  static Duration forLoad(ActiveRequest active) {
    double target = active.route().latencyTarget().toMillis() * PATIENCE_FACTOR;
    double part = active.deadline().since(active.receivedAt()).toMillis() * PATIENCE_PART;
    return Duration.ofMillis((long) Math.min(target, part));
  }

  /** Returns when a server that was sent a request is looked at for the first time. */
  static Duration untilFirstCheck(ActiveRequest active, MonotonicTime time) {
    Duration untilDeadline = active.deadline().since(time);
    if (!active.mayRunAgain()) {
      return untilDeadline;
    }
    Duration silence =
        Duration.ofMillis(
            Math.max(
                SHORTEST_SILENCE.toMillis(),
                (long) (active.route().latencyTarget().toMillis() * SILENCE_FACTOR)));
    return shorter(silence, untilDeadline);
  }

  /** Returns when a silent server is looked at again. */
  static Duration untilNextCheck(ActiveRequest active, MonotonicTime time) {
    return shorter(SHORTEST_SILENCE, active.deadline().since(time));
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
