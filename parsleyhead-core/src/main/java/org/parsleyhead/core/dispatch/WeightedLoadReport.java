package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * The newest load that an instance reported, with its age and how far it is believed.
 *
 * <p>Immutable and thread-safe. Between reports the load is corrected by the requests that this
 * host has sent and completed since. The weight of a report is half after 300 ms and approaches 0;
 * what remains is the load known from the hosts themselves. A report that a response contradicts
 * counts less.
 *
 * @param report the report
 * @param reportedAt when the instance sent it
 * @param ownRunning the requests of this host that the report includes
 * @param trust how far reports of this instance are believed, from 0 to 1
 */
record WeightedLoadReport(
    ReportedLoad report, MonotonicTime reportedAt, int ownRunning, double trust) {

  /** After this time, about as much load can have come and gone as the report describes. */
  private static final double HALF_LIFE_NANOSECONDS = 300e6;

  /**
   * Bounds the load that a report can state, in requests per slot. A full plain server has 5 times
   * as many requests as slots.
   */
  private static final double MAXIMUM_UTILIZATION = 8;

  private static final double CONTRADICTED_FACTOR = 0.5;
  private static final double CONFIRMED_FACTOR = 1.25;

  static WeightedLoadReport first(ReportedLoad report, int ownRunning, MonotonicTime time) {
    return new WeightedLoadReport(report, time.minus(report.age()), ownRunning, 1);
  }

  /** Returns the load after a newer report. */
  WeightedLoadReport withReport(ReportedLoad next, int ownRunningNow, MonotonicTime time) {
    return new WeightedLoadReport(next, time.minus(next.age()), ownRunningNow, trust);
  }

  /** Returns this load after a response has contradicted or confirmed what was reported. */
  WeightedLoadReport withEvidence(boolean contradicted) {
    double next =
        contradicted ? trust * CONTRADICTED_FACTOR : Math.min(1, trust * CONFIRMED_FACTOR);
    return new WeightedLoadReport(report, reportedAt, ownRunning, next);
  }

  /** Returns whether the report states that a further request would start at once. */
  boolean statesRoom() {
    return report.running() + report.waiting() < report.slots();
  }

  /**
   * Returns the estimated requests per slot, those that wait included. It is never less than the
   * requests of this host itself.
   *
   * @param own the requests of this host at the instance
   * @param others the requests of the other hosts there, as they have reported them
   * @param announcedSlots the slots that the instance announced
   */
  double utilization(int own, double others, int announcedSlots, MonotonicTime time) {
    double reported =
        Math.min(
            MAXIMUM_UTILIZATION,
            Math.max(0.0, report.running() + report.waiting() + own - ownRunning) / report.slots());
    double weight = weight(time);
    double blended = weight * reported + (1 - weight) * (own + others) / announcedSlots;
    return Math.max(blended, (double) own / Math.max(report.slots(), announcedSlots));
  }

  private double weight(MonotonicTime time) {
    double age = Math.max(0, time.nanoseconds() - reportedAt.nanoseconds());
    return trust * Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
  }
}
