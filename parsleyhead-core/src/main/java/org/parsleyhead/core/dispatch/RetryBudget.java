package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The repeated sends that this host may still make to one service.
 *
 * <p>Immutable and thread-safe. Each request earns a part of a send. The part of the allowance that
 * does not depend on traffic is divided evenly among the known hosts: one share of it may be saved
 * up, another one refills over a window. What is saved, refilled and earned in a window stays below
 * the allowance of all hosts together.
 *
 * @param level the sends that are left
 * @param updatedAt the instant up to which the level is counted
 */
record RetryBudget(double level, MonotonicTime updatedAt) {

  /** Part of the burst that all hosts together may save up; with the refill it leaves a fifth. */
  private static final double SAVED_PART = 0.4;

  /** Part of the burst that refills over one window. */
  private static final double REFILLED_PART = 0.4;

  /** Part of the ratio that a request earns; the rest covers requests that count in no window. */
  private static final double EARNED_PART = 0.9;

  /** Least that a host may save: a repeated send is one or none. */
  private static final double LEAST_SAVED = 1;

  /** Returns an empty budget: a former run of this process may have spent its part just now. */
  static RetryBudget fresh(MonotonicTime time) {
    return new RetryBudget(0, time);
  }

  RetryBudget earn(DispatchSettings settings, int hosts) {
    double earned = level + settings.retryRatio() * EARNED_PART;
    return new RetryBudget(Math.min(mostSaved(settings, hosts), earned), updatedAt);
  }

  RetryBudget advance(DispatchSettings settings, int hosts, MonotonicTime time) {
    Duration elapsed = time.since(updatedAt);
    if (elapsed.isNegative() || elapsed.isZero()) {
      return this;
    }
    double refill = settings.retryBurst() * REFILLED_PART / Math.max(1, hosts);
    double gained = refill * elapsed.toNanos() / settings.retryWindow().toNanos();
    return new RetryBudget(Math.min(mostSaved(settings, hosts), level + gained), time);
  }

  boolean allows() {
    return level >= 1;
  }

  RetryBudget spend() {
    return new RetryBudget(level - 1, updatedAt);
  }

  private static double mostSaved(DispatchSettings settings, int hosts) {
    return Math.max(LEAST_SAVED, settings.retryBurst() * SAVED_PART / Math.max(1, hosts));
  }
}
