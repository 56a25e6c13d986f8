package org.parsleyhead.core.routing;

import java.time.Duration;

/**
 * The settings of the routing duty.
 *
 * <p>Immutable and thread-safe.
 *
 * @param consecutiveFailures the number of consecutive failures after which an upstream is ejected
 * @param minimumSampleSize the weighted number of recent attempts from which the failure rate is
 *     evaluated
 * @param maximumFailureRate the failure rate above which an upstream is ejected, from 0 to 1
 * @param sampleHalfLife the time in which the weight of an attempt decays to one half
 * @param initialEjection the duration of the first ejection; doubles with each consecutive one
 * @param maximumEjection the maximum duration of an ejection
 * @param spilloverThreshold the number of outstanding attempts of this host at an upstream from
 *     which upstreams in farther failure domains are used too
 */
public record RoutingSettings(
    int consecutiveFailures,
    double minimumSampleSize,
    double maximumFailureRate,
    Duration sampleHalfLife,
    Duration initialEjection,
    Duration maximumEjection,
    int spilloverThreshold) {

  /** Returns the default settings. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        5, 10, 0.5, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(60), 16);
  }
}
