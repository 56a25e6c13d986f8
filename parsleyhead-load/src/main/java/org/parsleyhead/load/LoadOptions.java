package org.parsleyhead.load;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The parsed command line.
 *
 * <p>Immutable and thread-safe.
 */
final class LoadOptions {

  static final String HELP =
      """
      usage: parsleyhead-load --settings FILE [options]
             parsleyhead-load --settings FILE --outcomes FILE --compare-ledger FILE...

      Sends load on a fixed schedule, verifies every response and prints statistics, or
      compares the outcomes of a run with the ledgers of the upstream stand-ins.

        --settings FILE        the settings in TOML
        --run NAME             the name of the run, the prefix of request identifiers (default: seed-SEED)
        --report FILE          also write the report as JSON
        --outcomes FILE        write each outcome as a line of JSON, or read the outcomes to compare
        --plot FILE            write a plot of first tokens and refusals over time as SVG
        --compare-ledger FILE  compare with this ledger; may be repeated
        --check-settings       check the settings and exit
        --help                 print this text and exit
        --version              print the version and exit

      Exit codes: 0 success, 1 failed check, 2 usage or settings error.
      """;

  private static final Options OPTIONS =
      new Options()
          .addOption(withValue("settings"))
          .addOption(withValue("run"))
          .addOption(withValue("report"))
          .addOption(withValue("outcomes"))
          .addOption(withValue("plot"))
          .addOption(withValue("compare-ledger"))
          .addOption(flag("check-settings"))
          .addOption(flag("help"))
          .addOption(flag("version"));

  private final CommandLine line;

  private LoadOptions(CommandLine line) {
    this.line = line;
  }

  /**
   * Parses a command line.
   *
   * @throws ParseException if there is an unknown option, a missing value or a positional argument
   */
  static LoadOptions parse(String[] arguments) throws ParseException {
    CommandLine line = new DefaultParser().parse(OPTIONS, arguments);
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
    }
    return new LoadOptions(line);
  }

  boolean has(String name) {
    return line.hasOption(name);
  }

  Optional<String> text(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  Optional<Path> file(String name) {
    return text(name).map(Path::of);
  }

  List<Path> ledgers() {
    String[] values = line.getOptionValues("compare-ledger");
    return values == null ? List.of() : List.of(values).stream().map(Path::of).toList();
  }

  private static Option withValue(String name) {
    return Option.builder().longOpt(name).hasArg().get();
  }

  private static Option flag(String name) {
    return Option.builder().longOpt(name).get();
  }
}
