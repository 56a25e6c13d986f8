package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * The requests of the other hosts at an instance, averaged over the last seconds.
 *
 * <p>Immutable and thread-safe. The other hosts report every 500 ms, while a plain request takes 20
 * to 40 ms: the last count says little about the load now, and all hosts that chose by it would
 * fill the same server until the next report. The average shows which servers are slow or full for
 * longer.
 *
 * @param average the average when the count last changed
 * @param count the last reported count
 * @param changedAt when the count last changed
 */
record AveragedRunning(double average, int count, MonotonicTime changedAt) {

  static final AveragedRunning NONE = new AveragedRunning(0, 0, MonotonicTime.ORIGIN);

  /** Covers several reports of the other hosts. */
  private static final double HALF_LIFE_NANOSECONDS = 1e9;

  /** Returns the average after a report. */
  AveragedRunning withCount(int next, MonotonicTime time) {
    return new AveragedRunning(at(time), next, time);
  }

  /** Returns the average at an instant. */
  double at(MonotonicTime time) {
    double age = Math.max(0, time.nanoseconds() - changedAt.nanoseconds());
    return count + (average - count) * Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
  }
}
