package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The retries that this host may still make at one service.
 *
 * <p>Immutable and thread-safe. Each request earns a fraction of a retry. The burst, which does not
 * depend on traffic, is divided evenly among the known hosts: one share of it may be saved up, and
 * another one refills over a window. The retries saved, refilled and earned within a window stay
 * below the limit for all hosts together.
 *
 * @param level the retries that are left
 * @param updatedAt the instant up to which the level has been computed
 */
record RetryBudget(double level, MonotonicTime updatedAt) {

  /** Fraction of the burst that all hosts may save; saving and refill leave a fifth unused. */
  private static final double SAVED_FRACTION = 0.4;

  /** Fraction of the burst that refills over one window. */
  private static final double REFILLED_FRACTION = 0.4;

  /**
   * Fraction of the ratio that a request earns; the rest is a margin for requests that no window
   * counts.
   */
  private static final double EARNED_FRACTION = 0.9;

  /** Minimum that a host may save, since a retry cannot be divided. */
  private static final double MINIMUM_SAVED = 1;

  /**
   * Returns an empty budget, since a previous run of this process may just have spent its share.
   */
  static RetryBudget fresh(MonotonicTime time) {
    return new RetryBudget(0, time);
  }

  RetryBudget earn(DispatchSettings settings, int hosts) {
    double earned = level + settings.retryRatio() * EARNED_FRACTION;
    return new RetryBudget(Math.min(maximumSaved(settings, hosts), earned), updatedAt);
  }

  RetryBudget advance(DispatchSettings settings, int hosts, MonotonicTime time) {
    Duration elapsed = time.since(updatedAt);
    if (elapsed.isNegative() || elapsed.isZero()) {
      return this;
    }
    double refill = settings.retryBurst() * REFILLED_FRACTION / Math.max(1, hosts);
    double gained = refill * elapsed.toNanos() / settings.retryWindow().toNanos();
    return new RetryBudget(Math.min(maximumSaved(settings, hosts), level + gained), time);
  }

  boolean allows() {
    return level >= 1;
  }

  RetryBudget spend() {
    return new RetryBudget(level - 1, updatedAt);
  }

  /** Returns a retry that was not made; what exceeds the maximum is lost with the next advance. */
  RetryBudget refund() {
    return new RetryBudget(level + 1, updatedAt);
  }

  private static double maximumSaved(DispatchSettings settings, int hosts) {
    return Math.max(MINIMUM_SAVED, settings.retryBurst() * SAVED_FRACTION / Math.max(1, hosts));
  }
}
