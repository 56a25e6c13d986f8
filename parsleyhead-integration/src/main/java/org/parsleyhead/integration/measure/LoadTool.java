package org.parsleyhead.integration.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleyhead.integration.fleet.FleetException;
import org.parsleyhead.integration.fleet.ProgramProcess;

/**
 * Runs the load tool in a separate process.
 *
 * <p>Immutable and thread-safe. Runs with different names share no files.
 */
final class LoadTool {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofMinutes(10);
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S+)");
  private static final String REPORT_KEY = "report";
  private static final String JAVA_OPTIONS = "PARSLEYHEAD_JAVA_OPTIONS";

  private final Path root;
  private final Path directory;

  LoadTool(Path root, Path directory) {
    this.root = root;
    this.directory = directory;
  }

  /**
   * Sends load and returns the rows of the report.
   *
   * @param name the name of the run, for its files
   * @param settings the settings of the load in TOML
   * @param sampler called periodically while the load tool runs
   */
  List<ReportRow> send(String name, String settings, Runnable sampler) {
    return run(
        "load-" + name,
        write(name + "-load.toml", settings),
        List.of(
            "--run",
            name,
            "--outcomes",
            outcomesFile(name).toString(),
            "--plot",
            directory.resolve(name + ".svg").toString()),
        ignored -> sampler.run());
  }

  /** Compares the outcomes of an earlier run with a ledger and returns the rows of the report. */
  List<ReportRow> compare(String name, List<String> ledger) {
    Path file = write(name + "-ledger.json", String.join("\n", ledger) + "\n");
    return run(
        "compare-" + name,
        directory.resolve(name + "-load.toml"),
        List.of("--outcomes", outcomesFile(name).toString(), "--compare-ledger", file.toString()),
        ignored -> {});
  }

  /** Returns the file of the plot of a run. */
  Path plotFile(String name) {
    return directory.resolve(name + ".svg");
  }

  private Path outcomesFile(String name) {
    return directory.resolve(name + "-outcomes.json");
  }

  private List<ReportRow> run(
      String name, Path settings, List<String> arguments, Consumer<ProgramProcess> sampler) {
    try (ProgramProcess process =
        ProgramProcess.start(
            root,
            "parsleyhead-load",
            name,
            settings,
            directory,
            arguments,
            Map.of(JAVA_OPTIONS, "-Xmx2g"))) {
      long end = System.nanoTime() + TIMEOUT.toNanos();
      while (process.isAlive() && System.nanoTime() < end) {
        sampler.accept(process);
        Sleeper.sleep(POLL_INTERVAL);
      }
      List<ReportRow> rows = parseReport(process.output());
      if (rows.isEmpty()) {
        throw new FleetException(name + " printed no report; output: " + process.output());
      }
      return rows;
    }
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException exception) {
      throw new FleetException("cannot write " + name, exception);
    }
  }

  static List<ReportRow> parseReport(String output) {
    List<ReportRow> rows = new ArrayList<>();
    for (String line : output.lines().filter(text -> text.startsWith(REPORT_KEY + "=")).toList()) {
      Map<String, String> values = new LinkedHashMap<>();
      Matcher matcher = PAIR.matcher(line);
      while (matcher.find()) {
        values.put(matcher.group(1), matcher.group(2).replace("\"", ""));
      }
      String kind = values.remove(REPORT_KEY);
      rows.add(new ReportRow(kind, values));
    }
    return rows;
  }
}
