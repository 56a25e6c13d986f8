package org.parsleyhead.core.quarantine;

import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Turns evidence into reports, so that the most recent are told first.
 *
 * <p>Stateless and thread-safe.
 */
final class ReportOrder {

  private ReportOrder() {}

  static Stream<TraitReport> newestFirst(Map<Trait, TraitRecord> records, MonotonicTime time) {
    return records.entrySet().stream()
        .map(entry -> report(entry.getKey(), entry.getValue(), time))
        .sorted(Comparator.comparingLong(ReportOrder::age));
  }

  /** Returns the age of the newest evidence of a report, in milliseconds. */
  static long age(TraitReport report) {
    return Stream.concat(
            report.losses().stream().map(TraitReport.ReportedLoss::ageMilliseconds),
            report.answeredAgeMilliseconds().stream())
        .mapToLong(Long::longValue)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static TraitReport report(Trait trait, TraitRecord known, MonotonicTime time) {
    return new TraitReport(
        trait,
        known.answeredAt().map(answered -> Math.max(0, time.since(answered).toMillis())),
        known.losses().values().stream()
            .map(
                loss ->
                    new TraitReport.ReportedLoss(
                        loss.serverRun(),
                        loss.answerBegun(),
                        Math.max(0, time.since(loss.at()).toMillis())))
            .toList());
  }
}
