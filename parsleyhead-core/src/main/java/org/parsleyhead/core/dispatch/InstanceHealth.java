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
 * @param refusesUntil until when the instance wants no requests, by its own word
 */
record InstanceHealth(
    double score,
    MonotonicTime updatedAt,
    MonotonicTime avoidUntil,
    int unansweredAttempts,
    MonotonicTime refusesUntil) {

  /** Weight of the newest outcome; the last four outcomes determine most of the score. */
  private static final double NEWEST_WEIGHT = 0.25;

  /** Time in which the score decays to one half. */
  private static final double HALF_LIFE_NANOSECONDS = Duration.ofSeconds(3).toNanos();

  /** Avoidance after the first unanswered attempt; doubles with each consecutive one. */
  private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(500);

  /** Maximum avoidance; servers that fail are usually available again after a few seconds. */
  private static final Duration MAXIMUM_AVOIDANCE = Duration.ofSeconds(4);

  /** Bounds a time that an instance states; one that errs is used again without a restart. */
  private static final Duration MAXIMUM_REFUSAL = Duration.ofMinutes(10);

  static InstanceHealth healthy(MonotonicTime time) {
    return new InstanceHealth(0, time, time, 0, time);
  }

  double scoreAt(MonotonicTime time) {
    double elapsed = Math.max(0, time.nanoseconds() - updatedAt.nanoseconds());
    return score * Math.pow(0.5, elapsed / HALF_LIFE_NANOSECONDS);
  }

  boolean avoided(MonotonicTime time) {
    return time.isBefore(avoidUntil);
  }

  /** Returns whether the instance wants no requests now. */
  boolean refuses(MonotonicTime time) {
    return time.isBefore(refusesUntil);
  }

  /** Returns this health after the instance has said how long it wants no requests. */
  InstanceHealth refusing(Duration duration, MonotonicTime time) {
    Duration bounded = duration.compareTo(MAXIMUM_REFUSAL) < 0 ? duration : MAXIMUM_REFUSAL;
    MonotonicTime end = time.plus(bounded);
    return new InstanceHealth(
        score,
        updatedAt,
        avoidUntil,
        unansweredAttempts,
        end.isBefore(refusesUntil) ? refusesUntil : end);
  }

  InstanceHealth succeeded(MonotonicTime time) {
    return new InstanceHealth(scoreAt(time) * (1 - NEWEST_WEIGHT), time, time, 0, refusesUntil);
  }

  InstanceHealth failed(MonotonicTime time, boolean unanswered) {
    double next = scoreAt(time) * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    if (!unanswered) {
      return new InstanceHealth(next, time, avoidUntil, unansweredAttempts, refusesUntil);
    }
    long avoidance =
        Math.min(
            MAXIMUM_AVOIDANCE.toMillis(),
            INITIAL_AVOIDANCE.toMillis() << Math.min(unansweredAttempts, 5));
    return new InstanceHealth(
        next, time, time.plus(Duration.ofMillis(avoidance)), unansweredAttempts + 1, refusesUntil);
  }
}
