package org.parsleyhead.core.routing;

import java.time.Duration;

/**
 * The limits of routing.
 *
 * <p>Immutable and thread-safe.
 *
 * @param consecutiveFailures after how many failures in a row an upstream is ejected
 * @param smallestSample from how many recent attempts on the part of failures is judged
 * @param largestFailurePart above which part of failures an upstream is ejected, from 0 to 1
 * @param sampleHalfLife in what time an attempt weighs half
 * @param firstEjection how long the first ejection lasts; each further one lasts twice as long
 * @param longestEjection the longest ejection
 * @param spillOutstanding from how many own requests on a nearer upstream farther ones are used too
 */
public record RoutingSettings(
    int consecutiveFailures,
    double smallestSample,
    double largestFailurePart,
    Duration sampleHalfLife,
    Duration firstEjection,
    Duration longestEjection,
    int spillOutstanding) {

  /** Returns the settings that are used if none are given. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        5, 10, 0.5, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(60), 16);
  }
}
