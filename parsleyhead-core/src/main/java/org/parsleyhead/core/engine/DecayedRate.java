package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A count of uses in which older uses weigh less: a use counts half after the half-life.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the weighted count at the time of the last use
 * @param lastUse when the last use was counted
 */
record DecayedRate(double value, MonotonicTime lastUse) {

  /** Returns the rate of something first used now. */
  static DecayedRate first(double uses, MonotonicTime time) {
    return new DecayedRate(uses, time);
  }

  /** Returns this rate with further uses. */
  DecayedRate plus(double uses, MonotonicTime time, Duration halfLife) {
    return new DecayedRate(valueAt(time, halfLife) + uses, time);
  }

  /** Returns the weighted count at a time. */
  double valueAt(MonotonicTime time, Duration halfLife) {
    double halfLives = (double) time.since(lastUse).toNanos() / halfLife.toNanos();
    return value * Math.pow(0.5, Math.max(0, halfLives));
  }
}
