package org.parsleyhead.integration.measure;

import java.nio.file.Path;
import java.util.Map;
import org.apache.commons.cli.ParseException;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.integration.fleet.Fleets;

/**
 * The program {@code parsleyhead-measure}, which runs an experiment on one machine. Stateless and
 * thread-safe.
 */
public final class MeasureMain {

  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private static final Map<String, Experiment> EXPERIMENTS =
      Map.of(
          "overhead", new OverheadExperiment(),
          "policy", new PolicyExperiment(),
          "tickets", new TicketsExperiment(),
          "capacity", new CapacityExperiment());

  private MeasureMain() {}

  /** Runs the program and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    try {
      MeasureOptions options = MeasureOptions.parse(arguments);
      if (options.has("help")) {
        System.out.print(MeasureOptions.HELP);
        return EXIT_SUCCESS;
      }
      Experiment experiment = EXPERIMENTS.get(options.name().orElse(""));
      if (experiment == null) {
        System.err.println("error=usage message=\"experiment is missing or unknown\"; see --help");
        return EXIT_USAGE;
      }
      measure(experiment, options, String.join(" ", arguments));
      return EXIT_SUCCESS;
    } catch (ParseException | NumberFormatException exception) {
      System.err.println("error=usage message=\"" + exception.getMessage() + "\"; see --help");
      return EXIT_USAGE;
    } catch (ParsleyheadException exception) {
      System.err.println(
          "error=" + exception.code() + " message=\"" + exception.getMessage() + "\"");
      return EXIT_FAILURE;
    }
  }

  private static void measure(Experiment experiment, MeasureOptions options, String arguments) {
    String name = options.name().orElseThrow();
    Report report = new Report(name, "bin/parsleyhead-measure " + arguments, System.out);
    Path folder =
        options
            .folder("reports")
            .orElseGet(() -> Fleets.projectRoot().resolve("docs/measurements"));
    try {
      report.add(Machine.describe());
      experiment.run(options, report);
      report.add(Machine.describe());
    } finally {
      report.write(folder);
    }
  }
}
