package org.parsleyhead.core.api;

import java.time.Duration;

/**
 * A reading of one process's monotonic clock.
 *
 * <p>Immutable and thread-safe. Readings of different processes cannot be compared, so no message
 * between processes carries one.
 *
 * @param nanoseconds nanoseconds since an arbitrary origin
 */
public record MonotonicTime(long nanoseconds) implements Comparable<MonotonicTime> {

  /** The origin of fake clocks. */
  public static final MonotonicTime ORIGIN = new MonotonicTime(0);

  /** Returns the reading that is later than this one by a duration. */
  public MonotonicTime plus(Duration duration) {
    return new MonotonicTime(nanoseconds + duration.toNanos());
  }

  /** Returns the reading that is earlier than this one by a duration. */
  public MonotonicTime minus(Duration duration) {
    return new MonotonicTime(nanoseconds - duration.toNanos());
  }

  /** Returns the duration from an earlier reading to this one; negative if it is later. */
  public Duration since(MonotonicTime earlier) {
    return Duration.ofNanos(nanoseconds - earlier.nanoseconds);
  }

  /** Returns whether this reading is before another. */
  public boolean isBefore(MonotonicTime other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanoseconds - other.nanoseconds, 0);
  }
}
