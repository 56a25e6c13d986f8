package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The health of an instance as observed by this host.
 *
 * <p>Immutable and thread-safe. The score ranges from 0, healthy, to 1, failing. It decays with
 * time, so that an instance that has recovered is used again.
 *
 * @param score the exponentially weighted fraction of recent attempts that failed
 * @param updatedAt when the score was last updated
 * @param avoidUntil until when the instance is used only if no other one is available
 * @param unansweredAttempts the consecutive attempts that ended without any response
 */
record InstanceHealth(
    double score, MonotonicTime updatedAt, MonotonicTime avoidUntil, int unansweredAttempts) {

  /** Weight of the newest outcome; the last four outcomes determine most of the score. */
  private static final double NEWEST_WEIGHT = 0.25;

  /** Time in which the score decays to one half. */
  private static final double HALF_LIFE_NANOSECONDS = Duration.ofSeconds(3).toNanos();

  /** Avoidance after the first unanswered attempt; doubles with each consecutive one. */
  private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(500);

  /** Maximum avoidance; servers that fail are usually available again after a few seconds. */
  private static final Duration MAXIMUM_AVOIDANCE = Duration.ofSeconds(4);

  static InstanceHealth healthy(MonotonicTime time) {
    return new InstanceHealth(0, time, time, 0);
  }

  double scoreAt(MonotonicTime time) {
    double elapsed = Math.max(0, time.nanoseconds() - updatedAt.nanoseconds());
    return score * Math.pow(0.5, elapsed / HALF_LIFE_NANOSECONDS);
  }

  boolean avoided(MonotonicTime time) {
    return time.isBefore(avoidUntil);
  }

  InstanceHealth succeeded(MonotonicTime time) {
    return new InstanceHealth(scoreAt(time) * (1 - NEWEST_WEIGHT), time, time, 0);
  }

  InstanceHealth failed(MonotonicTime time, boolean unanswered) {
    double next = scoreAt(time) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    if (!unanswered) {
      return new InstanceHealth(next, time, avoidUntil, unansweredAttempts);
    }
    long avoidance =
        Math.min(
            MAXIMUM_AVOIDANCE.toMillis(),
            INITIAL_AVOIDANCE.toMillis() << Math.min(unansweredAttempts, 5));
    return new InstanceHealth(
        next, time, time.plus(Duration.ofMillis(avoidance)), unansweredAttempts + 1);
  }
}
