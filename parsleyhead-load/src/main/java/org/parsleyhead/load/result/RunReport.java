package org.parsleyhead.load.result;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.load.result.LatencyHistograms.LatencyMetric;
import org.parsleyhead.load.settings.LoadSettings;

/**
 * Builds the report of a load run.
 *
 * <p>Stateless and thread-safe.
 */
public final class RunReport {

  private static final int MAXIMUM_WRONG_LINES = 10;

  private RunReport() {}

  /**
   * Returns the lines of a report.
   *
   * @param settings the settings of the run
   * @param totals the request totals
   * @param latencies the recorded latencies
   * @param outcomes all outcomes
   * @param seconds the duration of the run in seconds
   */
  public static List<ReportLine> lines(
      LoadSettings settings,
      RunTotals totals,
      LatencyHistograms latencies,
      List<Outcome> outcomes,
      double seconds) {
    List<ReportLine> lines = new ArrayList<>();
    totals.groups().entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
        .forEach(entry -> lines.add(groupLine(entry.getKey(), entry.getValue(), latencies)));
    totals.refusals().entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
        .forEach(entry -> lines.add(refusalLine(entry)));
    settings.accounts().values().stream()
        .filter(account -> account.tokensPerSecond() > 0)
        .sorted(Comparator.comparing(LoadSettings.Account::name))
        .forEach(account -> lines.add(complianceLine(AccountRateCompliance.of(account, outcomes))));
    lines.addAll(fairnessLines(totals, latencies));
    outcomes.stream()
        .filter(outcome -> outcome.result() == Outcome.RequestResult.WRONG)
        .limit(MAXIMUM_WRONG_LINES)
        .forEach(outcome -> lines.add(wrongLine(outcome)));
    lines.add(totalLine(totals.overall(), seconds));
    return lines;
  }

  private static ReportLine groupLine(
      Outcome.Group group, RunTotals.GroupTotals totals, LatencyHistograms latencies) {
    ReportLine line =
        withGroup(ReportLine.of("group"), group)
            .with("requests", totals.requests())
            .with("answered", totals.answered())
            .with("refused", totals.refused())
            .with("failed", totals.failed())
            .with("wrong", totals.wrong())
            .with("tokens", totals.tokens());
    line = withPercentiles(line, "first_token", group, LatencyMetric.FIRST_TOKEN, latencies);
    line = withPercentiles(line, "between_tokens", group, LatencyMetric.INTER_TOKEN, latencies);
    line = withPercentiles(line, "total", group, LatencyMetric.TOTAL, latencies);
    return line.with(
        "sent_late_p99_milliseconds", latencies.percentile(group, LatencyMetric.SEND_DELAY, 99));
  }

  private static ReportLine withGroup(ReportLine line, Outcome.Group group) {
    return line.with("account", group.account())
        .with("class", group.trafficClass())
        .with("kind", group.kind());
  }

  private static ReportLine withPercentiles(
      ReportLine line,
      String name,
      Outcome.Group group,
      LatencyMetric metric,
      LatencyHistograms latencies) {
    return line.with(name + "_p50_milliseconds", latencies.percentile(group, metric, 50))
        .with(name + "_p95_milliseconds", latencies.percentile(group, metric, 95))
        .with(name + "_p99_milliseconds", latencies.percentile(group, metric, 99))
        .with(name + "_maximum_milliseconds", latencies.percentile(group, metric, 100));
  }

  private static ReportLine refusalLine(Map.Entry<RunTotals.RefusalKey, Long> entry) {
    RunTotals.RefusalKey key = entry.getKey();
    return withGroup(ReportLine.of(key.result().name().toLowerCase(Locale.ROOT)), key.group())
        .with("status", key.status())
        .with("code", key.code())
        .with("run", key.run())
        .with("count", entry.getValue());
  }

  private static ReportLine complianceLine(AccountRateCompliance compliance) {
    return ReportLine.of("bound")
        .with("account", compliance.account())
        .with("requests", compliance.requests())
        .with("refused_for_rate", compliance.refusedForRate())
        .with("wrongfully_refused", compliance.wrongfullyRefused())
        .with("within_rate", compliance.withinRate())
        .with("answered_within_rate", compliance.answeredWithinRate())
        .with("peak_over_burst", compliance.peakOverBurst());
  }

  private static List<ReportLine> fairnessLines(RunTotals totals, LatencyHistograms latencies) {
    Map<String, List<Outcome.Group>> classes =
        totals.groups().keySet().stream()
            .filter(group -> latencies.percentile(group, LatencyMetric.FIRST_TOKEN, 95) > 0)
            .collect(Collectors.groupingBy(Outcome.Group::trafficClass, Collectors.toList()));
    return classes.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(entry -> fairnessLine(entry.getKey(), entry.getValue(), latencies))
        .toList();
  }

  private static ReportLine fairnessLine(
      String trafficClass, List<Outcome.Group> groups, LatencyHistograms latencies) {
    Comparator<Outcome.Group> byPercentile =
        Comparator.comparingDouble(
            group -> latencies.percentile(group, LatencyMetric.FIRST_TOKEN, 95));
    List<Outcome.Group> sorted = groups.stream().sorted(byPercentile).toList();
    Outcome.Group worst = sorted.get(sorted.size() - 1);
    Outcome.Group median = sorted.get((sorted.size() - 1) / 2);
    return ReportLine.of("fairness")
        .with("class", trafficClass)
        .with("worst_account", worst.account())
        .with(
            "first_token_p95_over_median",
            latencies.percentile(worst, LatencyMetric.FIRST_TOKEN, 95)
                / latencies.percentile(median, LatencyMetric.FIRST_TOKEN, 95));
  }

  private static ReportLine wrongLine(Outcome outcome) {
    return ReportLine.of("wrong")
        .with("identifier", outcome.identifier())
        .with("model", outcome.model())
        .with("problem", outcome.problem().orElse(""));
  }

  private static ReportLine totalLine(RunTotals.GroupTotals overall, double seconds) {
    return ReportLine.of("total")
        .with("seconds", seconds)
        .with("requests", overall.requests())
        .with("answered", overall.answered())
        .with("refused", overall.refused())
        .with("failed", overall.failed())
        .with("wrong", overall.wrong())
        .with("requests_per_second", overall.requests() / seconds)
        .with("answers_per_second", overall.answered() / seconds)
        .with("tokens_per_second", overall.tokens() / seconds);
  }
}
