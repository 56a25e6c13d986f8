package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * An exponentially decaying average of the tokens per second that requests ask for at this host.
 *
 * <p>Immutable and thread-safe. Only lending depends on it, no bound does.
 *
 * @param sum the decaying sum of the microtokens asked for
 * @param updatedAt the instant up to which the sum has decayed
 */
record DemandEstimate(double sum, MonotonicTime updatedAt) {

  private static final double TIME_CONSTANT_NANOSECONDS = 1_000_000_000.0;

  static DemandEstimate none(MonotonicTime time) {
    return new DemandEstimate(0, time);
  }

  /** Returns this estimate after microtokens were asked for, or given back if negative. */
  DemandEstimate plus(long microtokens, MonotonicTime time) {
    return new DemandEstimate(Math.max(0, decayed(time) + microtokens), time);
  }

  /** Returns the microtokens per second at an instant. */
  long perSecond(MonotonicTime time) {
    return (long) (decayed(time) * QuotaUnits.NANOSECONDS_PER_SECOND / TIME_CONSTANT_NANOSECONDS);
  }

  /** Returns the parts of a rate that the demand takes up, at most all. */
  long parts(Limits limits, MonotonicTime time) {
    long rate = Math.max(1, limits.tokensPerSecond());
    return Math.min(QuotaUnits.PARTS, perSecond(time) / rate);
  }

  private double decayed(MonotonicTime time) {
    long elapsed = Math.max(0, time.nanoseconds() - updatedAt.nanoseconds());
    return sum * Math.exp(-elapsed / TIME_CONSTANT_NANOSECONDS);
  }
}
