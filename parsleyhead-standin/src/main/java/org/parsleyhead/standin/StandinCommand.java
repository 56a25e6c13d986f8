package org.parsleyhead.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.runtime.settings.SettingsException;
import org.parsleyhead.standin.settings.StandinSettings;
import org.parsleyhead.standin.settings.StandinSettingsReader;

/**
 * The command-line interface of the stand-ins.
 *
 * <p>Stateless and thread-safe.
 */
final class StandinCommand {

  static final int EXIT_SUCCESS = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private static final String HELP =
      """
      usage: parsleyhead-standin --settings FILE

      Runs stand-ins for the configuration service, the host list, the weight store,
      model servers and plain services until a signal stops them.

        --settings FILE    read the settings from a TOML file
        --check-settings   check the settings and exit
        --help             print this text and exit
        --version          print the version and exit

      Exit codes: 0 success, 1 failure, 2 arguments or settings that cannot be used
      """;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("settings").hasArg().get())
          .addOption(Option.builder().longOpt("check-settings").get())
          .addOption(Option.builder().longOpt("help").get())
          .addOption(Option.builder().longOpt("version").get());

  private StandinCommand() {}

  /** Runs the command and returns its exit code. */
  static int run(
      String[] arguments,
      PrintStream output,
      PrintStream errors,
      Consumer<StandinSettings> server) {
    try {
      return run(new DefaultParser().parse(OPTIONS, arguments), output, errors, server);
    } catch (ParseException exception) {
      errors.println("error=usage message=\"" + exception.getMessage() + "\"; see --help");
      return EXIT_USAGE;
    } catch (SettingsException exception) {
      exception.problems().forEach(problem -> errors.println("error=settings " + problem));
      return EXIT_USAGE;
    } catch (ParsleyheadException exception) {
      errors.println("error=" + exception.code() + " message=\"" + exception.getMessage() + "\"");
      return exception.code().equals(StandinException.FILE_FAILED) ? EXIT_USAGE : EXIT_FAILURE;
    }
  }

  private static int run(
      CommandLine line, PrintStream output, PrintStream errors, Consumer<StandinSettings> server) {
    if (line.hasOption("help")) {
      output.print(HELP);
    } else if (line.hasOption("version")) {
      output.println("parsleyhead-standin " + version());
    } else if (!line.hasOption("settings")) {
      errors.println("error=usage message=\"--settings FILE is missing\"; see --help");
      return EXIT_USAGE;
    } else {
      StandinSettings settings = read(Path.of(line.getOptionValue("settings")));
      if (line.hasOption("check-settings")) {
        output.println("settings=fine");
      } else {
        server.accept(settings);
      }
    }
    return EXIT_SUCCESS;
  }

  private static String version() {
    String version = StandinCommand.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }

  private static StandinSettings read(Path file) {
    try {
      return StandinSettingsReader.read(Files.readString(file));
    } catch (IOException exception) {
      throw new StandinException(
          StandinException.FILE_FAILED, "cannot read the settings file " + file, exception);
    }
  }
}
