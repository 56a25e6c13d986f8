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
 * Runs the load tool as a process.
 *
 * <p>Immutable; runs with different names are independent of each other.
 */
final class LoadTool {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofMinutes(10);
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S+)");
  private static final String KIND = "report";
  private static final String JAVA_OPTIONS = "PARSLEYHEAD_JAVA_OPTIONS";

  private final Path root;
  private final Path directory;

  LoadTool(Path root, Path directory) {
    this.root = root;
    this.directory = directory;
  }

  /** Sends load, calling a sampler while it runs, and returns the lines of its report. */
  List<Figures> send(String name, String settings, Runnable sampler) {
    return run(
        "load-" + name,
        write(name + "-load.toml", settings),
        List.of(
            "--run",
            name,
            "--outcomes",
            outcomes(name).toString(),
            "--plot",
            directory.resolve(name + ".svg").toString()),
        ignored -> sampler.run());
  }

  /** Compares the outcomes of a run with a ledger. */
  List<Figures> compare(String name, List<String> ledger) {
    Path file = write(name + "-ledger.json", String.join("\n", ledger) + "\n");
    return run(
        "compare-" + name,
        directory.resolve(name + "-load.toml"),
        List.of("--outcomes", outcomes(name).toString(), "--compare-ledger", file.toString()),
        ignored -> {});
  }

  /** Returns the plot of a run. */
  Path plot(String name) {
    return directory.resolve(name + ".svg");
  }

  private Path outcomes(String name) {
    return directory.resolve(name + "-outcomes.json");
  }

  private List<Figures> run(
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
        Pause.of(POLL_INTERVAL);
      }
      List<Figures> lines = parse(process.output());
      if (lines.isEmpty()) {
        throw new FleetException(name + " printed no report: " + process.output());
      }
      return lines;
    }
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException exception) {
      throw new FleetException("cannot write " + name, exception);
    }
  }

  static List<Figures> parse(String output) {
    List<Figures> lines = new ArrayList<>();
    for (String line : output.lines().filter(text -> text.startsWith(KIND + "=")).toList()) {
      Map<String, String> values = new LinkedHashMap<>();
      Matcher matcher = PAIR.matcher(line);
      while (matcher.find()) {
        values.put(matcher.group(1), matcher.group(2).replace("\"", ""));
      }
      String kind = values.remove(KIND);
      lines.add(new Figures(kind, values));
    }
    return lines;
  }
}
