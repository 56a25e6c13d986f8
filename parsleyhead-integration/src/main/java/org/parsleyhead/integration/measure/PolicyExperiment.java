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
import org.parsleyhead.integration.fleet.Platform;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettingsReader;

/**
 * Compares the scheduling policies under changes of load and faults. Each policy gets a fleet of
 * its own, on which the scenarios follow one another.
 *
 * <p>Stateless and thread-safe.
 */
final class PolicyExperiment implements Experiment {

  private static final int HOSTS = 6;
  private static final String HEAP = "-Xmx256m";
  private static final Duration DURATION = Duration.ofSeconds(30);
  private static final Duration QUICK_DURATION = Duration.ofSeconds(15);
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
        Scenario.fault("skewed", platform -> {}, platform -> {}),
        Scenario.load("greedy_account", "account = \"" + largeAccount + "\"\nrate_factor = 5.0\n"),
        Scenario.load("popularity_shift", "rank_shift = 500\n"),
        Scenario.load("jumping_peak", "rate_factor = 1.5\n"),
        Scenario.fault("engine_restart", platform -> platform.restart("engine-1"), platform -> {}),
        Scenario.fault(
            "failing_loads",
            platform -> platform.mode(WEIGHTS, "failing"),
            platform -> platform.mode(WEIGHTS, "up")),
        Scenario.fault(
            "slow_weight_store",
            platform -> platform.mode(WEIGHTS, "slow", WEIGHT_DELAY_MILLISECONDS),
            platform -> platform.mode(WEIGHTS, "up")));
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
    private final DeploymentFile standins;
    private final Duration duration;

    Run(MeasureOptions options, Report report, String deployment, String policy) {
      this.options = options;
      this.report = report;
      this.deployment = deployment;
      this.policy = policy;
      this.directory = MeasuredFleet.workFolder(options, "policy");
      this.standins = DeploymentFile.read(root.resolve("etc/standin-" + deployment + ".toml"));
      this.duration = options.isQuick() ? QUICK_DURATION : DURATION;
    }

    void run() {
      StandinLayout layout = standins.onFreePorts();
      LoadSettings declared = LoadSettingsReader.read(text(List.of("127.0.0.1:1")).text());
      Map<String, String> settings =
          Map.of(
              "repeats.window",
              REPEAT_WINDOW,
              "scheduling.policy",
              '"' + policy + '"',
              "weight_store.loads_per_second",
              Integer.toString(standins.number("weights.loads_per_second")),
              "weight_store.maximum_transfers",
              Integer.toString(standins.number("weights.full_speed_transfers")));
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
                  declared,
                  layout,
                  standins.number("engines.adapter_slots"),
                  standins.number("engines.maximum_batch")))) {
        warm(fleet);
        List<String> wanted =
            options.list(
                "scenarios",
                options.isQuick()
                    ? QUICK_SCENARIOS
                    : scenarios("").stream().map(Scenario::name).toList());
        String largeAccount = declared.trafficProfiles().get(0).account();
        scenarios(largeAccount).stream()
            .filter(scenario -> wanted.contains(scenario.name()))
            .forEach(scenario -> measure(fleet, scenario));
      }
    }

    private void warm(MeasuredFleet fleet) {
      tool().send("warm", load(fleet).text(), () -> {});
    }

    private void measure(MeasuredFleet fleet, Scenario scenario) {
      fleet.clearLedger();
      Platform platform = fleet.fleet().platform();
      Engines before = engines(platform);
      AtomicBoolean faulted = new AtomicBoolean();
      long start = System.nanoTime();
      String name = deployment + "-" + policy + "-" + scenario.name();
      LoadTool tool = tool();
      List<Figures> lines =
          tool.send(
              name,
              scenario.phases().apply(load(fleet)).text(),
              () -> {
                boolean due = System.nanoTime() - start > WARM_UP.toNanos();
                if (due && faulted.compareAndSet(false, true)) {
                  scenario.fault().accept(platform);
                }
              });
      scenario.end().accept(platform);
      Engines after = engines(platform);
      List<Figures> compared = tool.compare(name, platform.ledger());
      report.add(line(scenario, lines, compared, before, after));
      keepPlot(tool.plot(name), name);
    }

    private Figures line(
        Scenario scenario,
        List<Figures> lines,
        List<Figures> compared,
        Engines before,
        Engines after) {
      Figures total = Figures.of("total");
      double wrongful = 0;
      double withinRate = 0;
      double answeredWithinRate = 0;
      double interactive = 0;
      double worstShare = 1;
      for (Figures line : lines) {
        if (line.table().equals("total")) {
          total = line;
        } else if (line.table().equals("bound")) {
          wrongful += line.number("wrongfully_refused");
          withinRate += line.number("within_rate");
          answeredWithinRate += line.number("answered_within_rate");
          worstShare =
              Math.min(
                  worstShare,
                  line.number("answered_within_rate") / Math.max(1, line.number("within_rate")));
        } else if (line.table().equals("fairness")
            && line.values().get("class").equals("interactive")) {
          interactive = line.number("first_token_p95_over_median");
        }
      }
      Figures stalls = find(compared, "stalls");
      Figures comparison = find(compared, "comparison");
      return Figures.of(deployment)
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
          .with("worst_account_over_median", interactive)
          .with("worst_account_answered_share", worstShare)
          .with("answered_within_rate_share", answeredWithinRate / Math.max(1, withinRate))
          .with("wrongfully_refused", (long) wrongful)
          .with("findings", comparison.values().toString().replace(" ", ""));
    }

    private static Figures find(List<Figures> lines, String table) {
      return lines.stream()
          .filter(line -> line.table().equals(table))
          .findFirst()
          .orElse(Figures.of(table));
    }

    private void keepPlot(Path plot, String name) {
      Path folder = options.folder("reports").orElse(root.resolve("docs/measurements"));
      try {
        Files.createDirectories(folder);
        if (Files.exists(plot)) {
          Files.copy(plot, folder.resolve(name + ".svg"), StandardCopyOption.REPLACE_EXISTING);
        }
      } catch (IOException exception) {
        throw new FleetException("cannot keep the plot of " + name, exception);
      }
    }

    private LoadTool tool() {
      return new LoadTool(root, directory);
    }

    private Scenario.LoadText load(MeasuredFleet fleet) {
      return text(fleet.hosts().stream().map(EntryHost::callers).toList());
    }

    private Scenario.LoadText text(List<String> targets) {
      String listed =
          targets.stream().map(target -> '"' + target + '"').collect(Collectors.joining(", "));
      String text =
          DeploymentFile.lines(root.resolve("etc/load-" + deployment + ".toml")).stream()
              .map(line -> line.startsWith("targets =") ? "targets = [" + listed + "]" : line)
              .map(line -> line.startsWith("duration =") ? duration(duration) : line)
              .map(line -> line.startsWith("warm_up =") ? "warm_up = \"5 s\"" : line)
              .collect(Collectors.joining("\n"));
      return new Scenario.LoadText(text, duration);
    }

    private static String duration(Duration duration) {
      return "duration = \"" + duration.toSeconds() + " s\"";
    }
  }

  private static Engines engines(Platform platform) {
    try {
      long steps = 0;
      long tokens = 0;
      for (JsonNode standin : MAPPER.readTree(platform.callCounts())) {
        steps += standin.path("steps").asLong();
        tokens += standin.path("tokens").asLong();
      }
      return new Engines(steps, tokens);
    } catch (JsonProcessingException exception) {
      throw new FleetException("the platform's counts are not JSON", exception);
    }
  }

  /**
   * What all engines together did so far.
   *
   * <p>Immutable and thread-safe.
   */
  private record Engines(long steps, long tokens) {

    double meanBatchSince(Engines earlier) {
      return (double) (tokens - earlier.tokens) / Math.max(1, steps - earlier.steps);
    }
  }
}
