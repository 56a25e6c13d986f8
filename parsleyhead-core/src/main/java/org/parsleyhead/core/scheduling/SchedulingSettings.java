package org.parsleyhead.core.scheduling;

import java.time.Duration;

/**
 * The timing and limits of scheduling.
 *
 * <p>Immutable and thread-safe.
 *
 * @param clockMargin how long before the granted expiry of a pin this host stops using it
 * @param pinRenewInterval the time after the last pin request at which a pin in use is renewed
 * @param pinIdleTimeout the idle time after which a pin is released
 * @param pinRequestRetryInterval the time after which an unanswered pin request is repeated
 * @param pinRequestTimeout the time without an answer after which a pin is requested on another
 *     engine
 * @param spreadDelay how long a queue must be non-empty before a pin is requested on an additional
 *     engine
 * @param batchPenalty the virtual time added to the rank of batch requests, in time at their
 *     account's rate
 * @param maximumReportAge the maximum age of a load report that is used
 * @param maximumEngineQueue the maximum number of requests that may wait in an engine
 * @param slowStartDuration the time in which the load of an engine grows to its full limit after a
 *     failure
 * @param failureBackoff how long an engine receives no requests after a failure
 * @param spreadLoadThreshold the load from which another copy of an adapter is used, from 0 to 1
 */
public record SchedulingSettings(
    Duration clockMargin,
    Duration pinRenewInterval,
    Duration pinIdleTimeout,
    Duration pinRequestRetryInterval,
    Duration pinRequestTimeout,
    Duration spreadDelay,
    Duration batchPenalty,
    Duration maximumReportAge,
    int maximumEngineQueue,
    Duration slowStartDuration,
    Duration failureBackoff,
    double spreadLoadThreshold) {

  /** Returns the default settings. */
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
