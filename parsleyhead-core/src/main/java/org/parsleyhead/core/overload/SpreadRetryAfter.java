package org.parsleyhead.core.overload;

import java.time.Duration;

/**
 * Spreads callers evenly over the time that follows the expected delay.
 *
 * <p>Stateless and thread-safe. The delay is never shorter than the expected one.
 */
public final class SpreadRetryAfter implements RetryAfterPolicy {

  /** Length of the period of return, as a fraction of the expected delay. */
  private static final double SPREAD_FRACTION = 0.5;

  private static final int STEPS = 1_024;

  @Override
  public Duration retryAfter(Duration expectedDelay, long requestHash) {
    double position = (double) Math.floorMod(requestHash, STEPS) / STEPS;
    return expectedDelay.plus(
        Duration.ofNanos((long) (expectedDelay.toNanos() * SPREAD_FRACTION * position)));
  }
}
