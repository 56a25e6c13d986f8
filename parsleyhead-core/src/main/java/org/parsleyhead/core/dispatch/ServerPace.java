package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * An estimate of how long work takes at an instance compared with usual: 1 is as usual, 2 twice as
 * long.
 *
 * <p>Immutable and thread-safe. Combines what the instance reports with what this host observes.
 * The deviation from usual is kept as a logarithm, and half of it is discarded after 500 ms. The
 * more the reports of an instance differ from the observations of the same responses, the less they
 * count.
 *
 * @param reported the logarithm of the reported pace
 * @param reportedAt when it was reported
 * @param observed the logarithm of the observed pace
 * @param observedAt when it was observed
 * @param error the mean difference of the two
 */
record ServerPace(
    double reported,
    MonotonicTime reportedAt,
    double observed,
    MonotonicTime observedAt,
    double error) {

  /** As usual, before anything was reported. */
  static final ServerPace USUAL =
      new ServerPace(0, MonotonicTime.ORIGIN, 0, MonotonicTime.ORIGIN, 0);

  /** The fastest pace that is believed. */
  static final double MINIMUM = 0.25;

  /** The slowest pace that is believed. */
  static final double MAXIMUM = 8;

  /** The pace changes several times per second. */
  private static final double HALF_LIFE_NANOSECONDS = 500e6;

  /** Single responses take up to twice as long as others, so that one of them decides little. */
  private static final double NEWEST_OBSERVATION_WEIGHT = 0.5;

  private static final double NEWEST_ERROR_WEIGHT = 0.3;

  /**
   * Returns the estimate after a response.
   *
   * @param reported the pace that the response states
   * @param age the time since the instance stated it
   * @param measured the time that the response took compared with what was expected at the usual
   *     pace
   * @param floor the lowest pace that such a response can show
   */
  ServerPace withResponse(
      OptionalDouble reported,
      Duration age,
      OptionalDouble measured,
      double floor,
      MonotonicTime time) {
    ServerPace next = this;
    if (reported.isPresent()) {
      next =
          new ServerPace(
              logarithm(reported.getAsDouble(), MINIMUM),
              time.minus(age),
              observed,
              observedAt,
              error);
    }
    if (measured.isEmpty()) {
      return next;
    }
    double newest = logarithm(measured.getAsDouble(), floor);
    double former = decayed(observed, observedAt, time);
    double nextError = error;
    if (reported.isPresent()) {
      double difference = Math.abs(newest - logarithm(reported.getAsDouble(), floor));
      nextError += NEWEST_ERROR_WEIGHT * (difference - error);
    }
    return new ServerPace(
        next.reported,
        next.reportedAt,
        former + NEWEST_OBSERVATION_WEIGHT * (newest - former),
        time,
        nextError);
  }

  /** Returns the estimated pace, from {@link #MINIMUM} to {@link #MAXIMUM}. */
  double at(MonotonicTime time) {
    double trust = trust();
    return Math.exp(
        trust * decayed(reported, reportedAt, time)
            + (1 - trust) * decayed(observed, observedAt, time));
  }

  /** Returns how far reports are believed, from 0 to 1: a half if they err by a factor of 2. */
  double trust() {
    return Math.exp(-error);
  }

  private static double logarithm(double pace, double floor) {
    return Math.log(Math.min(MAXIMUM, Math.max(floor, pace)));
  }

  private static double decayed(double logarithm, MonotonicTime since, MonotonicTime time) {
    double age = Math.max(0, time.nanoseconds() - since.nanoseconds());
    return logarithm * Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
  }
}
