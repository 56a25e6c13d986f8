package org.parsleyhead.runtime.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.parsleyhead.runtime.settings.SettingsException;
import org.parsleyhead.runtime.settings.SettingsReader;

/**
 * Creates programs that read settings, start a service and run until a stop is requested.
 *
 * <p>Stateless and thread-safe.
 */
public final class ServiceProgram {

  private static final String SETTINGS = "settings";
  private static final String CHECK_SETTINGS = "check-settings";

  private static final List<OptionDescription> OPTIONS =
      List.of(
          OptionDescription.required(SETTINGS, "FILE", "the settings, in TOML"),
          OptionDescription.flag(CHECK_SETTINGS, "checks the settings and exits"));

  private ServiceProgram() {}

  /**
   * Creates a service program.
   *
   * @param name the name of the executable
   * @param summary one line for the help text
   * @param parser reads the settings; must call {@link SettingsReader#finish()} last
   * @param starter starts the service
   * @param stopSignal signals when to stop the service
   */
  public static <T> Program create(
      String name,
      String summary,
      Function<SettingsReader, T> parser,
      ServiceStarter<T> starter,
      StopSignal stopSignal) {
    CommandDescription description =
        new CommandDescription(
            "", List.of(), OPTIONS, "Starts and stays until SIGTERM or SIGINT, then stops.");
    CommandBody body =
        (arguments, console) -> {
          T settings = readSettings(arguments.path(SETTINGS).orElseThrow(), parser);
          if (arguments.has(CHECK_SETTINGS)) {
            console.output().println("settings are valid");
            return ExitStatus.SUCCESS;
          }
          return runUntilStopped(starter.start(settings, console), stopSignal);
        };
    return new Program(name, summary, List.of(new Command(description, body)));
  }

  private static <T> T readSettings(Path file, Function<SettingsReader, T> parser) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException exception) {
      throw CommandException.usage(
          "--settings: cannot read " + file + ": " + exception.getClass().getSimpleName());
    }
    try {
      return parser.apply(SettingsReader.parse(text));
    } catch (SettingsException exception) {
      throw new SettingsException(
          exception.problems().stream().map(problem -> file + ": " + problem).toList());
    }
  }

  private static ExitStatus runUntilStopped(Service service, StopSignal stopSignal) {
    try {
      stopSignal.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    return service.stop();
  }
}
