package org.parsleyhead.load;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.ParseException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.load.compare.LedgerComparison;
import org.parsleyhead.load.compare.StallStatistics;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.result.OutcomeCodec;
import org.parsleyhead.load.result.ReportLine;
import org.parsleyhead.load.result.RunReport;
import org.parsleyhead.load.result.RunTotals;
import org.parsleyhead.load.result.TimeSeriesPlot;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettingsReader;
import org.parsleyhead.runtime.log.EventLog;
import org.parsleyhead.runtime.settings.SettingsException;
import org.parsleyhead.standin.ledger.LedgerCodec;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * The command-line program of the load generator.
 *
 * <p>Either sends load on a fixed schedule and verifies every response, or compares the outcomes of
 * an earlier run with the ledgers of the upstream stand-ins. Stateless and thread-safe.
 */
public final class LoadMain {

  static final int EXIT_SUCCESS = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int MAXIMUM_FINDING_LINES = 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  private LoadMain() {}

  /** Runs the program and exits with its exit code. */
  public static void main(String[] arguments) {
    EventLog.configureProcess();
    System.exit(run(arguments, System.out, System.err));
  }

  /** Runs the program and returns its exit code. */
  static int run(String[] arguments, PrintStream output, PrintStream errors) {
    try {
      return run(LoadOptions.parse(arguments), output, errors);
    } catch (ParseException exception) {
      errors.println("error=usage message=\"" + exception.getMessage() + "\"; see --help");
      return EXIT_USAGE;
    } catch (SettingsException exception) {
      exception.problems().forEach(problem -> errors.println("error=settings " + problem));
      return EXIT_USAGE;
    } catch (ParsleyheadException exception) {
      errors.println("error=" + exception.code() + " message=\"" + exception.getMessage() + "\"");
      return EXIT_USAGE;
    }
  }

  private static int run(LoadOptions options, PrintStream output, PrintStream errors) {
    if (options.has("help")) {
      output.print(LoadOptions.HELP);
      return EXIT_SUCCESS;
    }
    if (options.has("version")) {
      output.println("parsleyhead-load " + version());
      return EXIT_SUCCESS;
    }
    if (!options.has("settings")) {
      errors.println("error=usage message=\"--settings FILE is missing\"; see --help");
      return EXIT_USAGE;
    }
    LoadSettings settings =
        LoadSettingsReader.read(ResultFiles.readText(options.file("settings").orElseThrow()));
    if (options.has("check-settings")) {
      output.println("settings=fine");
      return EXIT_SUCCESS;
    }
    return options.ledgers().isEmpty()
        ? send(settings, options, output)
        : compare(settings, options, output, errors);
  }

  private static int send(LoadSettings settings, LoadOptions options, PrintStream output) {
    EventLog log = new EventLog("load");
    try (AsyncHttpClient http = client(settings);
        OutcomeStore store = new OutcomeStore(options.file("outcomes"))) {
      LoadRun run = new LoadRun(settings, http, store, log);
      Duration duration = run.run(options.text("run").orElse("seed-" + settings.seed()));
      return report(settings, options, run, store, duration, output);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return EXIT_FAILURE;
    } catch (IOException exception) {
      throw new LoadException(
          LoadException.FILE_FAILED, "failed to close the HTTP client", exception);
    }
  }

  private static int report(
      LoadSettings settings,
      LoadOptions options,
      LoadRun run,
      OutcomeStore store,
      Duration duration,
      PrintStream output) {
    RunTotals totals = run.totals();
    double seconds = duration.toNanos() / NANOSECONDS_PER_SECOND;
    List<ReportLine> lines =
        new ArrayList<>(
            RunReport.lines(settings, totals, run.latencies(), store.outcomes(), seconds));
    lines.add(ReportLine.of("lost").with("outcomes", run.lostOutcomes()));
    lines.forEach(line -> output.println(line.text()));
    options.file("report").ifPresent(path -> ResultFiles.writeReport(path, lines));
    options
        .file("plot")
        .ifPresent(path -> ResultFiles.writeText(path, TimeSeriesPlot.of(store.outcomes()).svg()));
    boolean passed = totals.overall().wrong() == 0 && run.lostOutcomes() == 0;
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
  }

  private static int compare(
      LoadSettings settings, LoadOptions options, PrintStream output, PrintStream errors) {
    if (!options.has("outcomes")) {
      errors.println("error=usage message=\"--outcomes FILE is missing\"; see --help");
      return EXIT_USAGE;
    }
    List<Outcome> outcomes =
        ResultFiles.readLines(
            List.of(options.file("outcomes").orElseThrow()), OutcomeCodec::decode);
    List<LedgerEntry> ledger = ResultFiles.readLines(options.ledgers(), LedgerCodec::decode);
    List<LedgerComparison.Finding> findings =
        LedgerComparison.compare(
            outcomes,
            ledger,
            settings.accounts().values().stream().map(LoadSettings.Account::key).toList());
    findings.stream()
        .limit(MAXIMUM_FINDING_LINES)
        .forEach(finding -> output.println(reportLine(finding).text()));
    output.println(reportLine(StallStatistics.of(outcomes, ledger)).text());
    output.println(reportLine(LedgerComparison.count(findings)).text());
    return findings.isEmpty() ? EXIT_SUCCESS : EXIT_FAILURE;
  }

  private static ReportLine reportLine(Map<LedgerComparison.Rule, Long> counts) {
    ReportLine line = ReportLine.of("comparison");
    for (Map.Entry<LedgerComparison.Rule, Long> entry : counts.entrySet()) {
      line = line.with(entry.getKey().name().toLowerCase(Locale.ROOT), entry.getValue());
    }
    return line;
  }

  private static ReportLine reportLine(StallStatistics stalls) {
    return ReportLine.of("stalls")
        .with("loads", stalls.loads())
        .with("refused_loads", stalls.failedLoads())
        .with("stalled", stalls.stalled().size())
        .with("stalled_total_milliseconds", stalls.totalStalledMilliseconds())
        .with("stalled_p50_milliseconds", StallStatistics.percentile(stalls.stalled(), 50))
        .with("stalled_p95_milliseconds", StallStatistics.percentile(stalls.stalled(), 95))
        .with("resident", stalls.resident().size())
        .with("resident_p50_milliseconds", StallStatistics.percentile(stalls.resident(), 50))
        .with("resident_p95_milliseconds", StallStatistics.percentile(stalls.resident(), 95))
        .with("resident_p99_milliseconds", StallStatistics.percentile(stalls.resident(), 99));
  }

  private static ReportLine reportLine(LedgerComparison.Finding finding) {
    return ReportLine.of("finding")
        .with("rule", finding.rule().name().toLowerCase(Locale.ROOT))
        .with("upstream", finding.upstream())
        .with("detail", finding.detail());
  }

  private static AsyncHttpClient client(LoadSettings settings) {
    return Dsl.asyncHttpClient(
        Dsl.config()
            .setConnectTimeout(CONNECT_TIMEOUT)
            .setRequestTimeout(settings.requestTimeout())
            .setReadTimeout(settings.requestTimeout())
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setKeepAlive(true)
            .setTcpNoDelay(true));
  }

  private static String version() {
    String version = LoadMain.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }
}
