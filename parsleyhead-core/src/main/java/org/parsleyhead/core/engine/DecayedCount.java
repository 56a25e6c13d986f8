package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * An exponentially decayed count of uses: the weight of a use halves with each half-life.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the decayed count at the time of the last use
 * @param lastUse when the last use was recorded
 */
record DecayedCount(double value, MonotonicTime lastUse) {

  /** Returns the count of an adapter without earlier uses. */
  static DecayedCount first(double uses, MonotonicTime time) {
    return new DecayedCount(uses, time);
  }

  /** Returns this count with further uses. */
  DecayedCount plus(double uses, MonotonicTime time, Duration halfLife) {
    return new DecayedCount(valueAt(time, halfLife) + uses, time);
  }

  /** Returns the decayed count at a time. */
  double valueAt(MonotonicTime time, Duration halfLife) {
    double halfLives = (double) time.since(lastUse).toNanos() / halfLife.toNanos();
    return value * Math.pow(0.5, Math.max(0, halfLives));
  }
}
