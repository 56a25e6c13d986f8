package org.parsleyhead.integration.measure;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The options of the command line.
 *
 * <p>Immutable and thread-safe.
 */
public final class MeasureOptions {

  static final String HELP =
      """
      usage: parsleyhead-measure NAME [options]

      Runs an experiment on this machine, prints the results as pairs of names
      and values, and writes a report.

        overhead   one entry host compared with the direct path to the engines
        policy     scheduling policies under load changes and faults
        tickets    time until a published ticket is in force; cost of idle hosts
        capacity   cost of each core as its state grows, without sockets

        --quick              shorter runs and fewer sizes
        --hosts N,...        numbers of entry hosts (tickets; the first one for policy)
        --deployment NAME    accra or midlands (policy)
        --policies NAME,...  policies to run (policy)
        --scenarios NAME,... scenarios to run (policy)
        --reports FOLDER     directory of the report (default: docs/measurements)
        --work FOLDER        directory of settings, logs and results
                             (default: a new directory)
        --help               print this text and exit

      Exit codes: 0 success, 1 failure, 2 invalid arguments.
      """;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("quick").get())
          .addOption(Option.builder().longOpt("help").get())
          .addOption(Option.builder().longOpt("hosts").hasArg().get())
          .addOption(Option.builder().longOpt("deployment").hasArg().get())
          .addOption(Option.builder().longOpt("policies").hasArg().get())
          .addOption(Option.builder().longOpt("scenarios").hasArg().get())
          .addOption(Option.builder().longOpt("reports").hasArg().get())
          .addOption(Option.builder().longOpt("work").hasArg().get());

  private final CommandLine line;

  private MeasureOptions(CommandLine line) {
    this.line = line;
  }

  /**
   * Parses a command line.
   *
   * @throws ParseException if an option is unknown or lacks its value
   */
  public static MeasureOptions parse(String... arguments) throws ParseException {
    return new MeasureOptions(new DefaultParser().parse(OPTIONS, arguments));
  }

  /** Returns the name of the experiment. */
  public Optional<String> name() {
    return line.getArgList().stream().findFirst();
  }

  /** Returns whether an option is present. */
  public boolean has(String flag) {
    return line.hasOption(flag);
  }

  /** Returns whether runs are shortened. */
  public boolean isQuick() {
    return has("quick");
  }

  /** Returns the value of an option, or a default value. */
  public String text(String option, String defaultValue) {
    return line.getOptionValue(option, defaultValue);
  }

  /** Returns the comma-separated values of an option, or default values. */
  public List<String> list(String option, List<String> defaultValues) {
    return has(option) ? List.of(line.getOptionValue(option).split(",")) : defaultValues;
  }

  /** Returns the numbers of entry hosts to measure with, or default numbers. */
  public List<Integer> hosts(Integer... defaultCounts) {
    return has("hosts")
        ? Arrays.stream(line.getOptionValue("hosts").split(",")).map(Integer::valueOf).toList()
        : List.of(defaultCounts);
  }

  /** Returns the directory that an option names, or empty without the option. */
  public Optional<Path> folder(String option) {
    return Optional.ofNullable(line.getOptionValue(option)).map(Path::of);
  }
}
