package org.parsleyhead.core.scheduling;

import java.time.Duration;

/**
 * The durations and limits of scheduling.
 *
 * <p>Immutable and thread-safe.
 *
 * @param clockMargin by how much a pin is used shorter than it was granted
 * @param pinRenewInterval after what time a used pin is renewed
 * @param pinIdleRelease after what time an unused pin is released
 * @param askAgain after what time an unanswered pin request is repeated
 * @param askPatience after what time without a pin another engine is asked
 * @param spreadAfter how long the first request waits before a further engine is asked
 * @param batchHandicap by how much of their account's rate batch requests stand back
 * @param reportFresh up to what age a load report is relied on
 * @param queueTarget how many requests may wait in an engine
 * @param slowStart in what time an engine that failed gets its full load
 * @param failureBackoff how long an engine that failed gets nothing
 * @param spreadLoad the load above which a further copy of an adapter is used, from 0 to 1
 */
public record SchedulingSettings(
    Duration clockMargin,
    Duration pinRenewInterval,
    Duration pinIdleRelease,
    Duration askAgain,
    Duration askPatience,
    Duration spreadAfter,
    Duration batchHandicap,
    Duration reportFresh,
    int queueTarget,
    Duration slowStart,
    Duration failureBackoff,
    double spreadLoad) {

  /** Returns the settings that are used if none are given. */
  public static SchedulingSettings defaults() {
    return new SchedulingSettings(
        Duration.ofMillis(500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(2),
        Duration.ofMillis(1500),
        Duration.ofMillis(2500),
        Duration.ofMillis(200),
        Duration.ofSeconds(10),
        Duration.ofSeconds(5),
        1,
        Duration.ofSeconds(5),
        Duration.ofSeconds(2),
        0.7);
  }
}
