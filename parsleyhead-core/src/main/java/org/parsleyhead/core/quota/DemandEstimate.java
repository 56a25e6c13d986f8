package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * An exponentially decaying average of the tokens per second that requests use at this host.
 *
 * <p>Immutable and thread-safe. What a request will use is estimated from what it reserves and from
 * the share of their reservations that earlier requests used. When no request has come for several
 * times the usual interval, the load counts as ended. Only lending depends on this, no bound does.
 *
 * @param sum the decaying sum of the microtokens that requests are expected to use
 * @param count the decaying number of requests
 * @param usedShare the share of reservations that is used
 * @param updatedAt when the last request came
 */
record DemandEstimate(double sum, double count, double usedShare, MonotonicTime updatedAt) {

  private static final double TIME_CONSTANT_NANOSECONDS = 3_000_000_000.0;
  private static final double ENDED_AFTER_INTERVALS = 4;
  private static final double USED_SHARE_WEIGHT = 0.05;

  static DemandEstimate none(MonotonicTime time) {
    return new DemandEstimate(0, 0, 1, time);
  }

  /** Returns this estimate after a request reserved microtokens. */
  DemandEstimate reserved(long microtokens, MonotonicTime time) {
    double decay = decay(time);
    return new DemandEstimate(
        sum * decay + microtokens * usedShare, count * decay + 1, usedShare, time);
  }

  /** Returns this estimate after the use of a request has become known. */
  DemandEstimate settled(long reserved, long used) {
    double share = Math.min(1, (double) used / Math.max(1, reserved));
    double weighted = usedShare + USED_SHARE_WEIGHT * (share - usedShare);
    return new DemandEstimate(sum, count, weighted, updatedAt);
  }

  /** Returns the microtokens per second at an instant. */
  long perSecond(MonotonicTime time) {
    double usualInterval = TIME_CONSTANT_NANOSECONDS / Math.max(count, Double.MIN_NORMAL);
    if (elapsed(time) > ENDED_AFTER_INTERVALS * usualInterval) {
      return 0;
    }
    double perNanosecond = sum * decay(time) / TIME_CONSTANT_NANOSECONDS;
    return (long) (perNanosecond * QuotaUnits.NANOSECONDS_PER_SECOND);
  }

  /** Returns the parts of a rate that the demand takes up, at most all. */
  long parts(Limits limits, MonotonicTime time) {
    long rate = Math.max(1, limits.tokensPerSecond());
    return Math.min(QuotaUnits.PARTS, perSecond(time) / rate);
  }

  private double decay(MonotonicTime time) {
    return Math.exp(-elapsed(time) / TIME_CONSTANT_NANOSECONDS);
  }

  private double elapsed(MonotonicTime time) {
    return Math.max(0, time.nanoseconds() - updatedAt.nanoseconds());
  }
}
