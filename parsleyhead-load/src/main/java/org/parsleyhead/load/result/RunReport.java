package org.parsleyhead.load.result;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.load.result.LatencyFigures.Measure;
import org.parsleyhead.load.settings.LoadSettings;

/**
 * Makes the report of a run.
 *
 * <p>Stateless and thread-safe.
 */
public final class RunReport {

  private static final int WRONG_LINES = 10;

  private RunReport() {}

  /**
   * Returns the lines of a report.
   *
   * @param settings what was sent
   * @param totals what was counted
   * @param figures what was measured
   * @param outcomes all outcomes
   * @param seconds how long the run took
   */
  public static List<ReportLine> lines(
      LoadSettings settings,
      RunTotals totals,
      LatencyFigures figures,
      List<Outcome> outcomes,
      double seconds) {
    List<ReportLine> lines = new ArrayList<>();
    totals.groups().entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
        .forEach(entry -> lines.add(groupLine(entry.getKey(), entry.getValue(), figures)));
    totals.refusals().entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
        .forEach(entry -> lines.add(refusalLine(entry)));
    settings.accounts().values().stream()
        .filter(account -> account.tokensPerSecond() > 0)
        .sorted(Comparator.comparing(LoadSettings.Account::name))
        .forEach(account -> lines.add(boundLine(AccountBound.of(account, outcomes))));
    lines.addAll(fairnessLines(totals, figures));
    outcomes.stream()
        .filter(outcome -> outcome.end() == Outcome.End.WRONG)
        .limit(WRONG_LINES)
        .forEach(outcome -> lines.add(wrongLine(outcome)));
    lines.add(totalLine(totals.sum(), seconds));
    return lines;
  }

  private static ReportLine groupLine(
      Outcome.Group group, RunTotals.GroupTotals totals, LatencyFigures figures) {
    ReportLine line =
        withGroup(ReportLine.of("group"), group)
            .with("requests", totals.requests())
            .with("answered", totals.answered())
            .with("refused", totals.refused())
            .with("failed", totals.failed())
            .with("wrong", totals.wrong())
            .with("tokens", totals.tokens());
    line = withPercentiles(line, "first_token", group, Measure.FIRST_TOKEN, figures);
    line = withPercentiles(line, "between_tokens", group, Measure.BETWEEN_TOKENS, figures);
    line = withPercentiles(line, "total", group, Measure.TOTAL, figures);
    return line.with("sent_late_p99_milliseconds", figures.percentile(group, Measure.LATENESS, 99));
  }

  private static ReportLine withGroup(ReportLine line, Outcome.Group group) {
    return line.with("account", group.account())
        .with("class", group.trafficClass())
        .with("kind", group.kind());
  }

  private static ReportLine withPercentiles(
      ReportLine line, String name, Outcome.Group group, Measure measure, LatencyFigures figures) {
    return line.with(name + "_p50_milliseconds", figures.percentile(group, measure, 50))
        .with(name + "_p95_milliseconds", figures.percentile(group, measure, 95))
        .with(name + "_p99_milliseconds", figures.percentile(group, measure, 99))
        .with(name + "_maximum_milliseconds", figures.percentile(group, measure, 100));
  }

  private static ReportLine refusalLine(Map.Entry<RunTotals.RefusalKey, Long> entry) {
    RunTotals.RefusalKey key = entry.getKey();
    return withGroup(ReportLine.of(key.end().name().toLowerCase(Locale.ROOT)), key.group())
        .with("status", key.status())
        .with("code", key.code())
        .with("run", key.run())
        .with("count", entry.getValue());
  }

  private static ReportLine boundLine(AccountBound bound) {
    return ReportLine.of("bound")
        .with("account", bound.account())
        .with("requests", bound.requests())
        .with("refused_for_rate", bound.refusedForRate())
        .with("wrongfully_refused", bound.wrongfullyRefused())
        .with("within_rate", bound.withinRate())
        .with("answered_within_rate", bound.answeredWithinRate())
        .with("peak_over_burst", bound.peakOverBurst());
  }

  private static List<ReportLine> fairnessLines(RunTotals totals, LatencyFigures figures) {
    Map<String, List<Outcome.Group>> classes =
        totals.groups().keySet().stream()
            .filter(group -> figures.percentile(group, Measure.FIRST_TOKEN, 95) > 0)
            .collect(Collectors.groupingBy(Outcome.Group::trafficClass, Collectors.toList()));
    return classes.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(entry -> fairnessLine(entry.getKey(), entry.getValue(), figures))
        .toList();
  }

  private static ReportLine fairnessLine(
      String trafficClass, List<Outcome.Group> groups, LatencyFigures figures) {
    Comparator<Outcome.Group> byPercentile =
        Comparator.comparingDouble(group -> figures.percentile(group, Measure.FIRST_TOKEN, 95));
    List<Outcome.Group> sorted = groups.stream().sorted(byPercentile).toList();
    Outcome.Group worst = sorted.get(sorted.size() - 1);
    Outcome.Group median = sorted.get((sorted.size() - 1) / 2);
    return ReportLine.of("fairness")
        .with("class", trafficClass)
        .with("worst_account", worst.account())
        .with(
            "first_token_p95_over_median",
            figures.percentile(worst, Measure.FIRST_TOKEN, 95)
                / figures.percentile(median, Measure.FIRST_TOKEN, 95));
  }

  private static ReportLine wrongLine(Outcome outcome) {
    return ReportLine.of("wrong")
        .with("identifier", outcome.identifier())
        .with("model", outcome.model())
        .with("problem", outcome.problem().orElse(""));
  }

  private static ReportLine totalLine(RunTotals.GroupTotals sum, double seconds) {
    return ReportLine.of("total")
        .with("seconds", seconds)
        .with("requests", sum.requests())
        .with("answered", sum.answered())
        .with("refused", sum.refused())
        .with("failed", sum.failed())
        .with("wrong", sum.wrong())
        .with("requests_per_second", sum.requests() / seconds)
        .with("answers_per_second", sum.answered() / seconds)
        .with("tokens_per_second", sum.tokens() / seconds);
  }
}
