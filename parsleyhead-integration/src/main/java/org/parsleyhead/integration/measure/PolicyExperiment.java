package org.parsleyhead.integration.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.StandinClient;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettingsReader;

/**
 * Compares the scheduling policies under load changes and faults. Each policy runs on a fleet of
 * its own, which executes the scenarios one after another.
 *
 * <p>Stateless and thread-safe.
 */
final class PolicyExperiment implements Experiment {

  private static final int HOSTS = 6;
  private static final String HEAP = "-Xmx256m";
  private static final Duration RUN_DURATION = Duration.ofSeconds(30);
  private static final Duration QUICK_RUN_DURATION = Duration.ofSeconds(15);
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final int WEIGHT_DELAY_MILLISECONDS = 2_000;
  private static final String REPEAT_WINDOW = "\"11 s\"";
  private static final String WEIGHTS = "weights";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final List<String> POLICIES =
      List.of(
          SchedulingPolicy.ADAPTIVE,
          SchedulingPolicy.FIRST_COME_FIRST_SERVED,
          SchedulingPolicy.LEAST_OUTSTANDING,
          SchedulingPolicy.CONSISTENT_HASHING);

  private static final List<String> QUICK_SCENARIOS = List.of("skewed", "greedy_account");

  private static List<Scenario> scenarios(String largeAccount) {
    return List.of(
        Scenario.withFault("skewed", standinClient -> {}, standinClient -> {}),
        Scenario.withLoadChange(
            "greedy_account", "account = \"" + largeAccount + "\"\nrate_factor = 5.0\n"),
        Scenario.withLoadChange("popularity_shift", "rank_shift = 500\n"),
        Scenario.withLoadChange("jumping_peak", "rate_factor = 1.5\n"),
        Scenario.withFault(
            "engine_restart",
            standinClient -> standinClient.restartEngine("engine-1"),
            standinClient -> {}),
        Scenario.withFault(
            "failing_loads",
            standinClient -> standinClient.setMode(WEIGHTS, "failing"),
            standinClient -> standinClient.setMode(WEIGHTS, "up")),
        Scenario.withFault(
            "slow_weight_store",
            standinClient -> standinClient.setMode(WEIGHTS, "slow", WEIGHT_DELAY_MILLISECONDS),
            standinClient -> standinClient.setMode(WEIGHTS, "up")));
  }

  @Override
  public void run(MeasureOptions options, Report report) {
    for (String deployment : options.list("deployment", List.of("accra", "midlands"))) {
      for (String policy : options.list("policies", POLICIES)) {
        new Run(options, report, deployment, policy).run();
      }
    }
  }

  /** The scenarios of one deployment under one policy. Confined to one thread. */
  private static final class Run {

    private final MeasureOptions options;
    private final Report report;
    private final String deployment;
    private final String policy;
    private final Path root = Fleets.projectRoot();
    private final Path directory;
    private final DeploymentFile deploymentFile;
    private final Duration duration;

    Run(MeasureOptions options, Report report, String deployment, String policy) {
      this.options = options;
      this.report = report;
      this.deployment = deployment;
      this.policy = policy;
      this.directory = MeasuredFleet.workFolder(options, "policy");
      this.deploymentFile =
          DeploymentFile.read(root.resolve("etc/standin-" + deployment + ".toml"));
      this.duration = options.isQuick() ? QUICK_RUN_DURATION : RUN_DURATION;
    }

    void run() {
      StandinLayout layout = deploymentFile.onFreePorts();
      LoadSettings loadSettings = LoadSettingsReader.read(loadText(List.of("127.0.0.1:1")).text());
      Map<String, String> settings =
          Map.of(
              "repeats.window",
              REPEAT_WINDOW,
              "scheduling.policy",
              '"' + policy + '"',
              "weight_store.loads_per_second",
              Integer.toString(deploymentFile.number("weights.loads_per_second")),
              "weight_store.maximum_transfers",
              Integer.toString(deploymentFile.number("weights.full_speed_transfers")));
      int hosts = options.hosts(HOSTS).get(0);
      try (MeasuredFleet fleet =
          MeasuredFleet.start(
              directory,
              layout,
              hosts,
              hosts,
              settings,
              HEAP,
              MeasureTickets.of(
                  loadSettings,
                  layout,
                  deploymentFile.number("engines.adapter_slots"),
                  deploymentFile.number("engines.maximum_batch")))) {
        warmUp(fleet);
        List<String> selectedScenarios =
            options.list(
                "scenarios",
                options.isQuick()
                    ? QUICK_SCENARIOS
                    : scenarios("").stream().map(Scenario::name).toList());
        String largeAccount = loadSettings.trafficProfiles().get(0).account();
        scenarios(largeAccount).stream()
            .filter(scenario -> selectedScenarios.contains(scenario.name()))
            .forEach(scenario -> measure(fleet, scenario));
      }
    }

    private void warmUp(MeasuredFleet fleet) {
      newLoadTool().send("warm", loadText(fleet).text(), () -> {});
    }

    private void measure(MeasuredFleet fleet, Scenario scenario) {
      fleet.clearLedger();
      StandinClient standinClient = fleet.fleet().standins();
      EngineTotals before = fetchEngineTotals(standinClient);
      AtomicBoolean faultInjected = new AtomicBoolean();
      long start = System.nanoTime();
      String name = deployment + "-" + policy + "-" + scenario.name();
      LoadTool tool = newLoadTool();
      List<ReportRow> rows =
          tool.send(
              name,
              scenario.loadChange().apply(loadText(fleet)).text(),
              () -> {
                boolean due = System.nanoTime() - start > WARM_UP.toNanos();
                if (due && faultInjected.compareAndSet(false, true)) {
                  scenario.injectFault().accept(standinClient);
                }
              });
      scenario.clearFault().accept(standinClient);
      EngineTotals after = fetchEngineTotals(standinClient);
      List<ReportRow> comparisonRows = tool.compare(name, standinClient.fetchLedger());
      report.add(reportRow(scenario, rows, comparisonRows, before, after));
      copyPlot(tool.plotFile(name), name);
    }

    private ReportRow reportRow(
        Scenario scenario,
        List<ReportRow> rows,
        List<ReportRow> comparisonRows,
        EngineTotals before,
        EngineTotals after) {
      ReportRow total = ReportRow.of("total");
      double wrongfullyRefused = 0;
      double withinRate = 0;
      double answeredWithinRate = 0;
      double worstAccountOverMedian = 0;
      double worstAnsweredShare = 1;
      for (ReportRow row : rows) {
        if (row.table().equals("total")) {
          total = row;
        } else if (row.table().equals("bound")) {
          wrongfullyRefused += row.number("wrongfully_refused");
          withinRate += row.number("within_rate");
          answeredWithinRate += row.number("answered_within_rate");
          worstAnsweredShare =
              Math.min(
                  worstAnsweredShare,
                  row.number("answered_within_rate") / Math.max(1, row.number("within_rate")));
        } else if (row.table().equals("fairness")
            && row.values().get("class").equals("interactive")) {
          worstAccountOverMedian = row.number("first_token_p95_over_median");
        }
      }
      ReportRow stalls = findTable(comparisonRows, "stalls");
      ReportRow comparison = findTable(comparisonRows, "comparison");
      return ReportRow.of(deployment)
          .with("scenario", scenario.name())
          .with("policy", policy)
          .with("requests", (long) total.number("requests"))
          .with("answered", (long) total.number("answered"))
          .with("refused", (long) total.number("refused"))
          .with("failed", (long) total.number("failed"))
          .with("wrong", (long) total.number("wrong"))
          .with("loads", (long) stalls.number("loads"))
          .with("refused_loads", (long) stalls.number("refused_loads"))
          .with("stalled", (long) stalls.number("stalled"))
          .with("stalled_total_milliseconds", stalls.number("stalled_total_milliseconds"))
          .with("stalled_p95_milliseconds", stalls.number("stalled_p95_milliseconds"))
          .with("resident", (long) stalls.number("resident"))
          .with("resident_p95_milliseconds", stalls.number("resident_p95_milliseconds"))
          .with("resident_p99_milliseconds", stalls.number("resident_p99_milliseconds"))
          .with("mean_batch", after.meanBatchSince(before))
          .with("tokens_per_second", total.number("tokens_per_second"))
          .with("worst_account_over_median", worstAccountOverMedian)
          .with("worst_account_answered_share", worstAnsweredShare)
          .with("answered_within_rate_share", answeredWithinRate / Math.max(1, withinRate))
          .with("wrongfully_refused", (long) wrongfullyRefused)
          .with("findings", comparison.values().toString().replace(" ", ""));
    }

    private static ReportRow findTable(List<ReportRow> rows, String table) {
      return rows.stream()
          .filter(row -> row.table().equals(table))
          .findFirst()
          .orElse(ReportRow.of(table));
    }

    private void copyPlot(Path plot, String name) {
      Path folder = options.folder("reports").orElse(root.resolve("docs/measurements"));
      try {
        Files.createDirectories(folder);
        if (Files.exists(plot)) {
          Files.copy(plot, folder.resolve(name + ".svg"), StandardCopyOption.REPLACE_EXISTING);
        }
      } catch (IOException exception) {
        throw new FleetException("cannot copy the plot of " + name, exception);
      }
    }

    private LoadTool newLoadTool() {
      return new LoadTool(root, directory);
    }

    private Scenario.LoadText loadText(MeasuredFleet fleet) {
      return loadText(fleet.hosts().stream().map(EntryHost::callerEndpoint).toList());
    }

    private Scenario.LoadText loadText(List<String> targets) {
      String listed =
          targets.stream().map(target -> '"' + target + '"').collect(Collectors.joining(", "));
      String text =
          DeploymentFile.lines(root.resolve("etc/load-" + deployment + ".toml")).stream()
              .map(line -> line.startsWith("targets =") ? "targets = [" + listed + "]" : line)
              .map(line -> line.startsWith("duration =") ? durationLine(duration) : line)
              .map(line -> line.startsWith("warm_up =") ? "warm_up = \"5 s\"" : line)
              .collect(Collectors.joining("\n"));
      return new Scenario.LoadText(text, duration);
    }

    private static String durationLine(Duration duration) {
      return "duration = \"" + duration.toSeconds() + " s\"";
    }
  }

  private static EngineTotals fetchEngineTotals(StandinClient standinClient) {
    try {
      long steps = 0;
      long tokens = 0;
      for (JsonNode standin : MAPPER.readTree(standinClient.fetchCallCounts())) {
        steps += standin.path("steps").asLong();
        tokens += standin.path("tokens").asLong();
      }
      return new EngineTotals(steps, tokens);
    } catch (JsonProcessingException exception) {
      throw new FleetException("call counts of the stand-ins are not JSON", exception);
    }
  }

  /**
   * The totals of all engines so far.
   *
   * <p>Immutable and thread-safe.
   *
   * @param steps the number of steps
   * @param tokens the number of generated tokens
   */
  private record EngineTotals(long steps, long tokens) {

    double meanBatchSince(EngineTotals earlier) {
      return (double) (tokens - earlier.tokens) / Math.max(1, steps - earlier.steps);
    }
  }
}
