package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What an instance has reported about itself, and how far it is believed.
 *
 * <p>Immutable and thread-safe. An instance that has reported nothing has the usual pace and no
 * estimated load, whatever this host observes.
 *
 * @param load the newest reported load; empty if the instance has reported none
 * @param pace the estimated pace
 * @param otherHosts the requests of the other hosts there, which they report themselves
 */
record ServerCondition(
    Optional<WeightedLoadReport> load, ServerPace pace, AveragedRunning otherHosts) {

  static final ServerCondition UNREPORTED =
      new ServerCondition(Optional.empty(), ServerPace.USUAL, AveragedRunning.NONE);

  boolean reported() {
    return load.isPresent();
  }

  /** Returns the estimated pace; 1 if the instance has reported nothing. */
  double paceAt(MonotonicTime time) {
    return reported() ? pace.at(time) : 1;
  }

  /**
   * Returns the condition after a response. A report that is older than the known one is ignored:
   * that of a stream arrives with its first event, after those of shorter responses.
   *
   * @param report what it states; empty if it states nothing
   * @param ownRunning the requests of this host at the instance
   * @param measured the time it took compared with what was expected at the usual pace
   * @param floor the lowest pace that such a response can show
   */
  ServerCondition withResponse(
      Optional<ReportedLoad> report,
      int ownRunning,
      OptionalDouble measured,
      double floor,
      MonotonicTime time) {
    if (report.filter(received -> !outdated(received, time)).isEmpty()) {
      return reported()
          ? new ServerCondition(
              load,
              pace.withResponse(OptionalDouble.empty(), Duration.ZERO, measured, floor, time),
              otherHosts)
          : this;
    }
    ReportedLoad newest = report.get();
    WeightedLoadReport told =
        load.map(known -> known.withReport(newest, ownRunning, time))
            .orElseGet(() -> WeightedLoadReport.first(newest, ownRunning, time));
    return new ServerCondition(
        Optional.of(told),
        pace.withResponse(newest.pace(), newest.age(), measured, floor, time),
        otherHosts);
  }

  private boolean outdated(ReportedLoad report, MonotonicTime time) {
    return load.filter(known -> time.minus(report.age()).isBefore(known.reportedAt())).isPresent();
  }

  /** Returns the condition after a response has contradicted or confirmed the reported load. */
  ServerCondition withEvidence(boolean contradicted) {
    return new ServerCondition(
        load.map(report -> report.withEvidence(contradicted)), pace, otherHosts);
  }

  /** Returns the condition after the other hosts have reported their requests. */
  ServerCondition withOtherHosts(int running, MonotonicTime time) {
    return new ServerCondition(load, pace, otherHosts.withCount(running, time));
  }

  /** Returns the values that decisions depend on, for the log; empty if nothing was reported. */
  String inputs(MonotonicTime time) {
    return load.map(
            report ->
                " reported="
                    + report.report().running()
                    + ","
                    + report.report().waiting()
                    + ","
                    + report.report().slots()
                    + " report_age_ms="
                    + time.since(report.reportedAt()).toMillis()
                    + " report_trust="
                    + hundredths(report.trust())
                    + " pace="
                    + hundredths(pace.at(time))
                    + " pace_trust="
                    + hundredths(pace.trust()))
        .orElse("");
  }

  private static double hundredths(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
