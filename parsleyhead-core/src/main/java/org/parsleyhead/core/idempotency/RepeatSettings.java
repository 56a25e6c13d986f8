package org.parsleyhead.core.idempotency;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The durations and limits of duplicate detection.
 *
 * <p>Immutable and thread-safe.
 *
 * @param window how long after a request its repetitions are recognized; a new process does not
 *     count towards majorities for {@link #uncertaintyDuration()}
 * @param resendInterval the interval at which a claim is resent to members that have not voted
 * @param timeout how long a claim waits for votes before the check fails
 * @param maximumRecords the maximum number of records of a host; further claims are declined
 */
public record RepeatSettings(
    Duration window, Duration resendInterval, Duration timeout, int maximumRecords) {

  /** The default settings, sized for one entry host. */
  public static final RepeatSettings DEFAULTS =
      new RepeatSettings(
          Duration.ofSeconds(60), Duration.ofMillis(200), Duration.ofSeconds(4), 200_000);

  /** Validates the components. */
  public RepeatSettings {
    Preconditions.requireNonNull(window, "window");
    Preconditions.requireNonNull(resendInterval, "resendInterval");
    Preconditions.requireNonNull(timeout, "timeout");
    Preconditions.requirePositive(maximumRecords, "maximumRecords");
  }

  /** Returns how long a process that may lack records does not count towards majorities. */
  Duration uncertaintyDuration() {
    return window.plus(timeout);
  }
}
