package org.parsleyhead.core.idempotency;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The limits of the recognition of repetitions.
 *
 * <p>Immutable and thread-safe.
 *
 * @param window how long after a request its repetitions are recognized; also how long a new
 *     process does not count towards a majority
 * @param resendInterval after which time a claim is sent again to members that did not answer
 * @param timeout after which time a claim is given up
 * @param maximumRecords how many records a host keeps; claims beyond it are not granted
 */
public record RepeatSettings(
    Duration window, Duration resendInterval, Duration timeout, int maximumRecords) {

  /** Settings for one entry host of today's size. */
  public static final RepeatSettings DEFAULTS =
      new RepeatSettings(
          Duration.ofSeconds(60), Duration.ofMillis(200), Duration.ofSeconds(4), 200_000);

  /** Checks the limits. */
  public RepeatSettings {
    Preconditions.requireNonNull(window, "window");
    Preconditions.requireNonNull(resendInterval, "resendInterval");
    Preconditions.requireNonNull(timeout, "timeout");
    Preconditions.requirePositive(maximumRecords, "maximumRecords");
  }

  /** Returns how long a process that may have forgotten records does not count. */
  Duration uncertainty() {
    return window.plus(timeout);
  }
}
