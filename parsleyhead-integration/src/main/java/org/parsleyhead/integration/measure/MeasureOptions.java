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
 * What the command line asks for.
 *
 * <p>Immutable and thread-safe.
 */
public final class MeasureOptions {

  static final String HELP =
      """
      usage: parsleyhead-measure NAME [options]

      Runs an experiment on this machine, prints its figures as pairs of names and
      values, and writes a report.

        overhead   one entry host beside the direct path to the engines
        policy     scheduling policies under changes of load and faults
        tickets    time from publishing a ticket to force; cost of idle hosts
        capacity   cost of each core as its state grows, without sockets

        --quick              shorter runs and fewer sizes
        --hosts N,...        numbers of entry hosts (tickets; the first one for policy)
        --deployment NAME    accra or midlands (policy)
        --policies NAME,...  only these policies (policy)
        --scenarios NAME,... only these scenarios (policy)
        --reports FOLDER     where the report goes (default: docs/measurements)
        --work FOLDER        where settings, logs and results go (default: a new folder)
        --help               print this text and exit

      Exit codes: 0 fine, 1 failed, 2 usage.
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

  /** Tells whether a flag is set. */
  public boolean has(String flag) {
    return line.hasOption(flag);
  }

  /** Tells whether runs are to be short. */
  public boolean isQuick() {
    return has("quick");
  }

  /** Returns the value of an option. */
  public String text(String option, String defaultValue) {
    return line.getOptionValue(option, defaultValue);
  }

  /** Returns the values of an option that lists them. */
  public List<String> list(String option, List<String> defaultValues) {
    return has(option) ? List.of(line.getOptionValue(option).split(",")) : defaultValues;
  }

  /** Returns the numbers of entry hosts. */
  public List<Integer> hosts(Integer... defaultCounts) {
    return has("hosts")
        ? Arrays.stream(line.getOptionValue("hosts").split(",")).map(Integer::valueOf).toList()
        : List.of(defaultCounts);
  }

  /** Returns a folder. */
  public Optional<Path> folder(String option) {
    return Optional.ofNullable(line.getOptionValue(option)).map(Path::of);
  }
}
