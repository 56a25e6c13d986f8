package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterReport;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The numbers of orders that servers report to a host that gives none: they change while another
 * fleet, which this host cannot reach, gives orders.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nextRequestAt when the next reports are due
 * @param firstReportAt when the first report was read
 * @param changedAt when a change was last seen between two reports of one run of a server
 * @param counts the last observation, by instance
 */
record ObservedOrders(
    MonotonicTime nextRequestAt,
    Optional<MonotonicTime> firstReportAt,
    Optional<MonotonicTime> changedAt,
    PMap<String, Observation> counts) {

  /** Returns the state before any report, with the first request due at an instant. */
  static ObservedOrders none(MonotonicTime nextRequestAt) {
    return new ObservedOrders(
        nextRequestAt, Optional.empty(), Optional.empty(), HashTreePMap.empty());
  }

  ObservedOrders withReport(AdapterReport report, MonotonicTime time) {
    Observation observed = new Observation(report.startedAtMilliseconds(), report.orderCount());
    Observation known = counts.get(report.instance());
    boolean changed =
        known != null
            && known.startedAtMilliseconds() == observed.startedAtMilliseconds()
            && known.orderCount() != observed.orderCount();
    return new ObservedOrders(
        nextRequestAt,
        firstReportAt.or(() -> Optional.of(time)),
        changed ? Optional.of(time) : changedAt,
        counts.plus(report.instance(), observed));
  }

  ObservedOrders withNextRequest(MonotonicTime next) {
    return new ObservedOrders(next, firstReportAt, changedAt, counts);
  }

  /** Returns whether a change was seen within a duration before an instant. */
  boolean changedWithin(Duration duration, MonotonicTime time) {
    return changedAt.isPresent() && time.since(changedAt.get()).compareTo(duration) < 0;
  }

  /** Returns whether servers have been observed for at least a duration before an instant. */
  boolean observedFor(Duration duration, MonotonicTime time) {
    return firstReportAt.isPresent() && time.since(firstReportAt.get()).compareTo(duration) >= 0;
  }

  /**
   * What a server reported.
   *
   * <p>Immutable and thread-safe.
   *
   * @param startedAtMilliseconds the start of its run, in milliseconds since 1970
   * @param orderCount the number of orders that this run has accepted
   */
  record Observation(long startedAtMilliseconds, long orderCount) {}
}
