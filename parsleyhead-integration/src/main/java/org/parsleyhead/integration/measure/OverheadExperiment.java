package org.parsleyhead.integration.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.load.settings.LoadSettings;
import org.parsleyhead.load.settings.LoadSettingsReader;

/**
 * Measures the latency that one entry host adds to the direct path to the engines, and the load and
 * the number of open streams that it sustains.
 *
 * <p>Stateless and thread-safe.
 */
final class OverheadExperiment implements Experiment {

  private static final String MODEL = "adapter-1@1";
  private static final int ADAPTER_SLOTS = 64;
  private static final int MAXIMUM_BATCH = 20_000;
  private static final int ENGINES = 2;
  private static final double COMPARISON_REQUESTS_PER_SECOND = 500;
  private static final int COMPARISON_TOKENS = 32;
  private static final int LONG_ANSWER_TOKENS = 256;
  private static final List<Integer> TOKEN_RATES =
      List.of(10_000, 20_000, 40_000, 60_000, 80_000, 120_000, 160_000, 240_000);
  private static final double MINIMUM_ANSWERED_SHARE = 0.95;
  private static final double OPEN_STREAM_COUNT = 5_000;
  private static final int OPEN_STREAM_TOKENS = 40;
  private static final double OPEN_STREAM_SECONDS = 20;
  private static final int FAST_STEP_MILLISECONDS = 5;
  private static final int SLOW_STEP_MILLISECONDS = 500;
  private static final String SMALL_HEAP = "-Xmx256m";
  private static final double BYTES_PER_MEBIBYTE = 1 << 20;

  @Override
  public void run(MeasureOptions options, Report report) {
    Path directory = MeasuredFleet.workFolder(options, "overhead");
    LoadTool tool = new LoadTool(Fleets.projectRoot(), directory);
    try (MeasuredFleet fleet = start(directory, FAST_STEP_MILLISECONDS)) {
      compareWithDirectPath(fleet, tool, options.isQuick() ? 8 : 30, report);
      measureCapacity(fleet, tool, options.isQuick() ? 5 : 10, report);
    }
    try (MeasuredFleet fleet = start(directory, SLOW_STEP_MILLISECONDS)) {
      measureOpenStreams(fleet, tool, report);
    }
  }

  private static MeasuredFleet start(Path directory, int stepMilliseconds) {
    String engines =
        """
        engines.base_model = "base"
        engines.adapter_slots = 64
        engines.maximum_batch = 20000
        engines.cache_tokens = 100000000
        engines.step_base_milliseconds = %d
        engines.step_per_request_milliseconds = 0
        engines.step_per_adapter_milliseconds = 0
        engines.prefill_per_token_milliseconds = 0
        engines.cold_steps = 0
        engines.report_lag = "200 ms"
        """
            .formatted(stepMilliseconds);
    StandinLayout layout = StandinLayout.onFreePorts(ENGINES, List.of()).withExtraSettings(engines);
    LoadSettings loadSettings = LoadSettingsReader.read(settings(List.of("127.0.0.1:1"), 1, 1, 1));
    MeasuredFleet fleet =
        MeasuredFleet.start(
            directory,
            layout,
            1,
            1,
            Map.of(),
            SMALL_HEAP,
            MeasureTickets.of(loadSettings, layout, ADAPTER_SLOTS, MAXIMUM_BATCH));
    layout.engines().values().forEach(endpoint -> loadAdapter(fleet, endpoint));
    return fleet;
  }

  private static void loadAdapter(MeasuredFleet fleet, String engine) {
    String order = "{\"lora_name\":\"" + MODEL + "\",\"lora_path\":\"weights/adapter-1\"}";
    fleet.client().call("POST", engine, "/v1/load_lora_adapter", Map.of(), order);
  }

  private static void compareWithDirectPath(
      MeasuredFleet fleet, LoadTool tool, int seconds, Report report) {
    List<String> direct = new ArrayList<>(fleet.fleet().layout().engines().values());
    List<String> entry = List.of(fleet.hosts().get(0).callerEndpoint());
    double rate = COMPARISON_REQUESTS_PER_SECOND;
    tool.send("warm", settings(entry, rate, COMPARISON_TOKENS, seconds), () -> {});
    ReportRow directRow =
        measure(fleet, tool, "direct", settings(direct, rate, COMPARISON_TOKENS, seconds));
    report.add(directRow);
    ReportRow entryRow =
        measure(fleet, tool, "through", settings(entry, rate, COMPARISON_TOKENS, seconds));
    report.add(entryRow);
    report.add(
        ReportRow.of("added_by_entry_host")
            .with("first_token_p50_milliseconds", difference(entryRow, directRow, "p50"))
            .with("first_token_p99_milliseconds", difference(entryRow, directRow, "p99")));
  }

  private static double difference(ReportRow one, ReportRow other, String percentile) {
    String name = "first_token_" + percentile + "_milliseconds";
    return one.number(name) - other.number(name);
  }

  private static void measureCapacity(
      MeasuredFleet fleet, LoadTool tool, int seconds, Report report) {
    List<String> entry = List.of(fleet.hosts().get(0).callerEndpoint());
    for (int tokens : TOKEN_RATES) {
      double rate = (double) tokens / LONG_ANSWER_TOKENS;
      ReportRow row =
          measure(
              fleet, tool, "offered-" + tokens, settings(entry, rate, LONG_ANSWER_TOKENS, seconds));
      report.add(new ReportRow("token_rates", row.values()));
      boolean sustained =
          row.number("answered") >= MINIMUM_ANSWERED_SHARE * row.number("requests")
              && row.number("tokens_per_second") >= MINIMUM_ANSWERED_SHARE / 2 * tokens;
      if (!sustained) {
        return;
      }
    }
  }

  private static void measureOpenStreams(MeasuredFleet fleet, LoadTool tool, Report report) {
    List<String> entry = List.of(fleet.hosts().get(0).callerEndpoint());
    double rate = OPEN_STREAM_COUNT / OPEN_STREAM_SECONDS;
    ReportRow row =
        measure(
            fleet,
            tool,
            "open-streams",
            settings(entry, rate, OPEN_STREAM_TOKENS, (int) (2 * OPEN_STREAM_SECONDS)));
    report.add(new ReportRow("open_streams", row.values()).with("java_options", SMALL_HEAP));
  }

  private static ReportRow measure(
      MeasuredFleet fleet, LoadTool tool, String name, String settings) {
    List<HostSample> samples = new ArrayList<>(fleet.sampleMetrics());
    List<ReportRow> rows = tool.send(name, settings, () -> samples.addAll(fleet.sampleMetrics()));
    ReportRow group = findTable(rows, "group");
    ReportRow total = findTable(rows, "total");
    HostSample first = samples.get(0);
    HostSample last = samples.get(samples.size() - 1);
    double processorSeconds = last.cpuSeconds() - first.cpuSeconds();
    return ReportRow.of("paths")
        .with("run", name)
        .with("requests", (long) total.number("requests"))
        .with("answered", (long) total.number("answered"))
        .with("refused", (long) total.number("refused"))
        .with("failed", (long) total.number("failed"))
        .with("wrong", (long) total.number("wrong"))
        .with("requests_per_second", total.number("requests_per_second"))
        .with("tokens_per_second", total.number("tokens_per_second"))
        .with("first_token_p50_milliseconds", group.number("first_token_p50_milliseconds"))
        .with("first_token_p99_milliseconds", group.number("first_token_p99_milliseconds"))
        .with("between_tokens_p50_milliseconds", group.number("between_tokens_p50_milliseconds"))
        .with("between_tokens_p99_milliseconds", group.number("between_tokens_p99_milliseconds"))
        .with("sent_late_p99_milliseconds", group.number("sent_late_p99_milliseconds"))
        .with("entry_processors", last.cpuCoresSince(first))
        .with(
            "tokens_per_core_second",
            total.number("tokens_per_second") * total.number("seconds") / processorSeconds)
        .with("entry_heap_maximum_mebibytes", maximum(samples, true) / BYTES_PER_MEBIBYTE)
        .with("entry_active_maximum", maximum(samples, false));
  }

  private static double maximum(List<HostSample> samples, boolean heap) {
    return samples.stream()
        .mapToDouble(sample -> heap ? sample.heapBytes() : sample.activeRequests())
        .max()
        .orElse(0);
  }

  private static ReportRow findTable(List<ReportRow> rows, String table) {
    return rows.stream()
        .filter(line -> line.table().equals(table))
        .findFirst()
        .orElse(ReportRow.of(table));
  }

  private static String settings(List<String> targets, double rate, int tokens, int seconds) {
    String listed =
        targets.stream().map(target -> '"' + target + '"').collect(Collectors.joining(", "));
    String template =
        """
        seed = 1
        duration = "%d s"
        targets = [%s]
        request_timeout = "90 s"
        [adapters]
        prefix = "adapter-"
        count = 8
        version = 1
        [account.floor]
        key = "floor-key-1"
        tokens_per_second = 100000000
        burst_tokens = 1000000000
        [traffic.chat]
        account = "floor"
        kind = "chat"
        path = "/v1/chat/completions"
        model = "%s"
        requests_per_second = %s
        prompt_characters_minimum = 100
        prompt_characters_maximum = 100
        output_tokens_minimum = %d
        output_tokens_maximum = %d
        """;
    return template.formatted(seconds, listed, MODEL, Double.toString(rate), tokens, tokens);
  }
}
