package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * An exponentially decaying average of the tokens per second that requests use on this host.
 *
 * <p>Immutable and thread-safe. The use of a request is estimated from its reservation and from the
 * fraction of their reservations that earlier requests used. If no request has arrived for several
 * times the average interval, the demand is considered zero. Only lending depends on this estimate;
 * the bound on admitted tokens does not.
 *
 * @param sum the decaying sum of the microtokens that requests are expected to use
 * @param count the decaying number of requests
 * @param usedFraction the average fraction of a reservation that is used
 * @param updatedAt when the latest request arrived
 */
record DemandEstimate(double sum, double count, double usedFraction, MonotonicTime updatedAt) {

  private static final double TIME_CONSTANT_NANOSECONDS = 3_000_000_000.0;
  private static final double IDLE_AFTER_INTERVALS = 4;
  private static final double USED_FRACTION_WEIGHT = 0.05;

  /** Returns the estimate before the first request. */
  static DemandEstimate none(MonotonicTime time) {
    return new DemandEstimate(0, 0, 1, time);
  }

  /** Returns this estimate after a request has reserved microtokens. */
  DemandEstimate afterReservation(long microtokens, MonotonicTime time) {
    double decay = decay(time);
    return new DemandEstimate(
        sum * decay + microtokens * usedFraction, count * decay + 1, usedFraction, time);
  }

  /** Returns this estimate after a request has been settled. */
  DemandEstimate afterSettlement(long reserved, long used) {
    double fraction = Math.min(1, (double) used / Math.max(1, reserved));
    double weighted = usedFraction + USED_FRACTION_WEIGHT * (fraction - usedFraction);
    return new DemandEstimate(sum, count, weighted, updatedAt);
  }

  /** Returns the estimated demand at an instant, in microtokens per second. */
  long microtokensPerSecond(MonotonicTime time) {
    double averageInterval = TIME_CONSTANT_NANOSECONDS / Math.max(count, Double.MIN_NORMAL);
    if (elapsed(time) > IDLE_AFTER_INTERVALS * averageInterval) {
      return 0;
    }
    double perNanosecond = sum * decay(time) / TIME_CONSTANT_NANOSECONDS;
    return (long) (perNanosecond * QuotaUnits.NANOSECONDS_PER_SECOND);
  }

  /** Returns the parts of the rate that the demand requires, at most all of them. */
  long parts(Limits limits, MonotonicTime time) {
    long rate = Math.max(1, limits.tokensPerSecond());
    return Math.min(QuotaUnits.TOTAL_PARTS, microtokensPerSecond(time) / rate);
  }

  private double decay(MonotonicTime time) {
    return Math.exp(-elapsed(time) / TIME_CONSTANT_NANOSECONDS);
  }

  private double elapsed(MonotonicTime time) {
    return Math.max(0, time.nanoseconds() - updatedAt.nanoseconds());
  }
}
