package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The load times of adapters as observed by this host, separately for cold and warm loads.
 *
 * <p>Immutable and thread-safe. An estimate begins at the configured load time. A rejection of a
 * request that was sent before its adapter was loaded raises it at once, since a host observes less
 * than one load per second; first responses lower it slowly. Every estimate is between 20 ms and 5
 * s.
 *
 * @param cold the load time of adapters that the server did not hold recently
 * @param warm the load time of adapters that the server held recently
 */
record LoadTimeEstimate(Learned cold, Learned warm) {

  static final LoadTimeEstimate INITIAL =
      new LoadTimeEstimate(Learned.UNCHANGED, Learned.UNCHANGED);

  /** Returns the expected duration of a load whose configured duration is given. */
  Duration expected(boolean warmLoad, Duration configured, MonotonicTime time) {
    return Duration.ofNanos((long) (kind(warmLoad).at(configured, time) * 1e6));
  }

  /**
   * Returns this estimate after an adapter was still missing some time after its load was ordered.
   * Several rejections during the same load have the effect of the latest one.
   */
  LoadTimeEstimate withRejection(
      boolean warmLoad, Duration configured, Duration elapsed, MonotonicTime time) {
    return with(warmLoad, kind(warmLoad).raised(configured, elapsed, time));
  }

  /** Returns this estimate after the first request that waited for a load was answered. */
  LoadTimeEstimate withFirstResponse(boolean warmLoad, Duration configured, MonotonicTime time) {
    return with(warmLoad, kind(warmLoad).lowered(configured, time));
  }

  private Learned kind(boolean warmLoad) {
    return warmLoad ? warm : cold;
  }

  private LoadTimeEstimate with(boolean warmLoad, Learned next) {
    return warmLoad ? new LoadTimeEstimate(cold, next) : new LoadTimeEstimate(next, warm);
  }

  /**
   * The learned load time of one kind.
   *
   * <p>Immutable and thread-safe. The part above twice the configured time is caused by many
   * concurrent loads and halves every two seconds, since such a surge passes in seconds while a
   * host observes few loads that could lower the estimate.
   *
   * @param factor the load time as a multiple of the configured one, at the time of the change
   * @param changedAt when it last changed
   */
  record Learned(double factor, MonotonicTime changedAt) {

    static final Learned UNCHANGED = new Learned(1, MonotonicTime.ORIGIN);

    private static final double MINIMUM_MILLISECONDS = 20;
    private static final double MAXIMUM_MILLISECONDS = 5_000;

    /** Multiple of the configured time above which an estimate decays. */
    private static final double LASTING_FACTOR = 2;

    private static final double SURGE_HALF_LIFE_SECONDS = 2;

    /** Margin above the time after which an adapter was still missing. */
    private static final double MARGIN_FRACTION = 0.25;

    private static final double MINIMUM_MARGIN_MILLISECONDS = 20;

    /**
     * Fraction by which a first response lowers the estimate. With the margin of a quarter, at most
     * one load in 90 is expected too early while the actual load time is constant.
     */
    private static final double LOWERED_FRACTION = 0.0025;

    double at(Duration configured, MonotonicTime time) {
      return bounded(configured.toNanos() / 1e6 * decayed(time));
    }

    Learned raised(Duration configured, Duration elapsed, MonotonicTime time) {
      double missing = elapsed.toNanos() / 1e6;
      double lowest = missing + Math.max(MINIMUM_MARGIN_MILLISECONDS, missing * MARGIN_FRACTION);
      double known = at(configured, time);
      return lowest > known ? of(lowest, configured, time) : this;
    }

    Learned lowered(Duration configured, MonotonicTime time) {
      return of(at(configured, time) * (1 - LOWERED_FRACTION), configured, time);
    }

    private static Learned of(double milliseconds, Duration configured, MonotonicTime time) {
      double unit = Math.max(1, configured.toNanos() / 1e6);
      return new Learned(bounded(milliseconds) / unit, time);
    }

    private double decayed(MonotonicTime time) {
      if (factor <= LASTING_FACTOR) {
        return factor;
      }
      double seconds = Math.max(0, time.since(changedAt).toNanos() / 1e9);
      double remaining = Math.pow(0.5, seconds / SURGE_HALF_LIFE_SECONDS);
      return LASTING_FACTOR + (factor - LASTING_FACTOR) * remaining;
    }

    private static double bounded(double milliseconds) {
      return Math.max(MINIMUM_MILLISECONDS, Math.min(MAXIMUM_MILLISECONDS, milliseconds));
    }
  }
}
