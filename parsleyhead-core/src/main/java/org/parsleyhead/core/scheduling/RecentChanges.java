package org.parsleyhead.core.scheduling;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Own starts less own ends at an engine over the time that its load reports may lag.
 *
 * <p>Immutable and thread-safe. Counts the current window and the one before it.
 *
 * @param windowStart when the current window began
 * @param current the count of the current window
 * @param previous the count of the window before
 */
record RecentChanges(MonotonicTime windowStart, int current, int previous) {

  private static final Duration WINDOW = Duration.ofMillis(500);

  static RecentChanges none(MonotonicTime time) {
    return new RecentChanges(time, 0, 0);
  }

  RecentChanges plus(int change, MonotonicTime time) {
    RecentChanges rolled = roll(time);
    return new RecentChanges(rolled.windowStart, rolled.current + change, rolled.previous);
  }

  int total(MonotonicTime time) {
    RecentChanges rolled = roll(time);
    return rolled.current + rolled.previous;
  }

  private RecentChanges roll(MonotonicTime time) {
    Duration age = time.since(windowStart);
    if (age.compareTo(WINDOW) < 0) {
      return this;
    }
    boolean adjacent = age.compareTo(WINDOW.multipliedBy(2)) < 0;
    return new RecentChanges(time, 0, adjacent ? current : 0);
  }
}
