package org.parsleyhead.core.scheduling;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The requests that this host started minus those that ended on an engine, over the time by which
 * load reports may be delayed.
 *
 * <p>Immutable and thread-safe. Covers the current window and the one before it.
 *
 * @param windowStart the start of the current window
 * @param current the difference in the current window
 * @param previous the difference in the window before it
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
