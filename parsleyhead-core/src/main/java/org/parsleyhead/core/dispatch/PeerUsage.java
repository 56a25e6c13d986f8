package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The units that another host has admitted for one client account.
 *
 * <p>Immutable and thread-safe. Between reports the usage is extrapolated at the last rate, so that
 * the usage of a disconnected host still counts while that host may be admitting requests.
 *
 * @param incarnation the incarnation of the process of the host
 * @param total the units that the incarnation had admitted at its last report
 * @param ratePerSecond the recent rate, in units per second
 * @param reportedAt when the last report was received
 * @param extrapolated the units that were charged by extrapolation since the last report
 * @param chargedAt the instant up to which the extrapolation was charged
 */
record PeerUsage(
    long incarnation,
    double total,
    double ratePerSecond,
    MonotonicTime reportedAt,
    double extrapolated,
    MonotonicTime chargedAt) {

  /** Weight of the newest rate; reports are received several times per second. */
  private static final double NEWEST_WEIGHT = 0.3;

  /** Maximum extrapolation; a host that is silent for longer has stopped or was replaced. */
  private static final Duration MAXIMUM_EXTRAPOLATION = Duration.ofSeconds(15);

  static PeerUsage first(long incarnation, double total, MonotonicTime time) {
    return new PeerUsage(incarnation, total, 0, time, 0, time);
  }

  /**
   * Returns the units of a report beyond the extrapolated ones; negative if these were too many.
   */
  double correction(long reportedIncarnation, double reportedTotal) {
    double reported = reportedIncarnation == incarnation ? reportedTotal - total : reportedTotal;
    return reported - extrapolated;
  }

  PeerUsage withReport(long reportedIncarnation, double reportedTotal, MonotonicTime time) {
    double reported = reportedIncarnation == incarnation ? reportedTotal - total : reportedTotal;
    double seconds = Math.max(0.05, seconds(reportedAt, time));
    double rate = ratePerSecond + NEWEST_WEIGHT * (Math.max(0, reported) / seconds - ratePerSecond);
    return new PeerUsage(reportedIncarnation, reportedTotal, rate, time, 0, time);
  }

  /** Returns the units to extrapolate from the last charge up to an instant. */
  double extrapolation(MonotonicTime time) {
    MonotonicTime last = reportedAt.plus(MAXIMUM_EXTRAPOLATION);
    MonotonicTime until = last.isBefore(time) ? last : time;
    return Math.max(0, seconds(chargedAt, until)) * ratePerSecond;
  }

  PeerUsage withExtrapolationCharged(MonotonicTime time) {
    return new PeerUsage(
        incarnation, total, ratePerSecond, reportedAt, extrapolated + extrapolation(time), time);
  }

  private static double seconds(MonotonicTime from, MonotonicTime until) {
    return (until.nanoseconds() - from.nanoseconds()) / 1e9;
  }
}
