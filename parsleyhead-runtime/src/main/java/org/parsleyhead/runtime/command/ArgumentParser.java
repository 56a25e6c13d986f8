package org.parsleyhead.runtime.command;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parses the arguments of a command and validates them against its description.
 *
 * <p>Stateless and thread-safe, without input or output.
 */
final class ArgumentParser {

  private ArgumentParser() {}

  /**
   * Parses the arguments of a command.
   *
   * @throws CommandException if an argument is unknown, missing or given too often
   */
  static CommandArguments parse(CommandDescription description, List<String> arguments) {
    CommandLine line = parseLine(description, arguments);
    requireOperands(description, line.getArgList());
    description.options().forEach(option -> requireOccurrence(option, line));
    List<CommandArguments.GivenOption> given = new ArrayList<>();
    for (Option option : line.getOptions()) {
      given.add(
          new CommandArguments.GivenOption(
              option.getLongOpt(), option.getValuesList().stream().distinct().toList()));
    }
    return new CommandArguments(line.getArgList(), given.stream().distinct().toList());
  }

  private static CommandLine parseLine(CommandDescription description, List<String> arguments) {
    Options options = new Options();
    description.options().forEach(option -> options.addOption(option.toOption()));
    DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
    try {
      return parser.parse(options, arguments.toArray(new String[0]));
    } catch (ParseException exception) {
      throw CommandException.usage(exception.getMessage());
    }
  }

  private static void requireOperands(CommandDescription description, List<String> operands) {
    List<String> expected = description.operands();
    if (operands.size() < expected.size()) {
      throw CommandException.usage("missing " + expected.get(operands.size()));
    }
    if (operands.size() > expected.size()) {
      throw CommandException.usage("unexpected argument: " + operands.get(expected.size()));
    }
  }

  private static void requireOccurrence(OptionDescription option, CommandLine line) {
    long count =
        Arrays.stream(line.getOptions())
            .filter(given -> given.getLongOpt().equals(option.name()))
            .count();
    if (count == 0 && option.occurrence() != OptionDescription.Occurrence.OPTIONAL) {
      throw CommandException.usage("missing " + option.usage());
    }
    if (count > 1 && option.occurrence() != OptionDescription.Occurrence.REPEATED) {
      throw CommandException.usage("--" + option.name() + " is given more than once");
    }
  }
}
