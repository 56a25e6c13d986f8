package org.parsleyhead.runtime.command;

import java.util.List;

/**
 * Formats the help text of a program.
 *
 * <p>Stateless and thread-safe, without input or output.
 */
final class HelpText {

  private static final List<OptionDescription> COMMON_OPTIONS =
      List.of(
          OptionDescription.flag("help", "prints this text and exits"),
          OptionDescription.flag("version", "prints the version and exits"));

  private HelpText() {}

  static String of(String program, String summary, List<CommandDescription> commands) {
    StringBuilder text = new StringBuilder();
    text.append(program).append(": ").append(summary).append("\n\nUsage:\n");
    for (CommandDescription command : commands) {
      text.append(("  " + program + " " + command.usage()).stripTrailing()).append('\n');
    }
    commands.forEach(command -> appendCommand(text, command));
    text.append("\nCommon options:\n");
    COMMON_OPTIONS.forEach(option -> appendOption(text, option));
    text.append(
        "\nExit codes: 0 success, 1 failure, 2 arguments or settings that cannot be used\n");
    return text.toString();
  }

  private static void appendCommand(StringBuilder text, CommandDescription command) {
    text.append('\n');
    if (!command.name().isEmpty()) {
      text.append(command.name()).append(": ");
    }
    text.append(command.summary()).append('\n');
    command.options().forEach(option -> appendOption(text, option));
  }

  private static void appendOption(StringBuilder text, OptionDescription option) {
    text.append(String.format("  %-32s %s\n", option.usage(), option.summary()));
  }
}
