package org.parsleyhead.runtime.command;

import java.util.List;
import org.parsleyhead.core.api.ParsleyheadException;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.runtime.settings.SettingsException;

/**
 * A program with a single command, or with several commands selected by the first argument.
 *
 * <p>Immutable; as thread-safe as the bodies of its commands. {@link #run} never exits the process
 * and throws no exception: errors are printed to the error stream and returned as an exit status.
 */
public final class Program {

  private final String name;
  private final String summary;
  private final List<Command> commands;

  /**
   * Creates a program.
   *
   * @param name the name of the executable
   * @param summary one line for the help text
   * @param commands the commands; a single command has an empty name
   */
  public Program(String name, String summary, List<Command> commands) {
    this.name = Preconditions.requireName(name, "name");
    this.summary = Preconditions.requireNonNull(summary, "summary");
    this.commands = List.copyOf(Preconditions.requireNotEmpty(commands, "commands"));
  }

  /** Returns the help text. */
  public String helpText() {
    return HelpText.of(name, summary, commands.stream().map(Command::description).toList());
  }

  /** Returns the line printed by {@code --version}. */
  public String versionLine() {
    return name + " " + ProgramVersion.ofProgram();
  }

  /** Runs the program and returns its exit status. */
  public ExitStatus run(List<String> arguments, Console console) {
    if (arguments.contains("--help")) {
      console.output().print(helpText());
      return ExitStatus.SUCCESS;
    }
    if (arguments.contains("--version")) {
      console.output().println(versionLine());
      return ExitStatus.SUCCESS;
    }
    try {
      return dispatch(arguments, console);
    } catch (CommandException exception) {
      return report(console, exception.status(), exception.getMessage());
    } catch (SettingsException exception) {
      exception.problems().forEach(problem -> console.errors().println(name + ": " + problem));
      return ExitStatus.USAGE;
    } catch (ParsleyheadException exception) {
      String message = exception.code() + ": " + exception.getMessage();
      return report(console, ExitStatus.FAILURE, message);
    } catch (RuntimeException exception) {
      return report(console, ExitStatus.FAILURE, "internal_error: " + exception);
    }
  }

  private ExitStatus dispatch(List<String> arguments, Console console) {
    Command single = commands.get(0);
    if (single.description().name().isEmpty()) {
      return single.body().run(ArgumentParser.parse(single.description(), arguments), console);
    }
    if (arguments.isEmpty()) {
      throw CommandException.usage("missing command; expected one of " + commandNames());
    }
    Command command = find(arguments.get(0));
    List<String> rest = arguments.subList(1, arguments.size());
    return command.body().run(ArgumentParser.parse(command.description(), rest), console);
  }

  private Command find(String commandName) {
    return commands.stream()
        .filter(command -> command.description().name().equals(commandName))
        .findFirst()
        .orElseThrow(
            () ->
                CommandException.usage(
                    "unknown command \"" + commandName + "\"; expected one of " + commandNames()));
  }

  private String commandNames() {
    return String.join(
        ", ", commands.stream().map(command -> command.description().name()).toList());
  }

  private ExitStatus report(Console console, ExitStatus status, String message) {
    console.errors().println(name + ": " + message);
    if (status == ExitStatus.USAGE) {
      console.errors().println("Try " + name + " --help");
    }
    return status;
  }
}
