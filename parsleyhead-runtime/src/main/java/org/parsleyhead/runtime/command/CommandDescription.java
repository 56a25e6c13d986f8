package org.parsleyhead.runtime.command;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;

/**
 * The name, operands, options and summary of a command.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name; empty for the only command of a program
 * @param operands the names of the operands in order, in capitals; all of them are required
 * @param options the options
 * @param summary one line for the help text
 */
public record CommandDescription(
    String name, List<String> operands, List<OptionDescription> options, String summary) {

  /** Requires all components and copies the lists. */
  public CommandDescription {
    Preconditions.requireNonNull(name, "name");
    operands = List.copyOf(operands);
    options = List.copyOf(options);
    Preconditions.requireNonNull(summary, "summary");
  }

  /** Returns the synopsis of the command for the help text. */
  String usage() {
    StringBuilder usage = new StringBuilder(name);
    operands.forEach(operand -> usage.append(' ').append(operand));
    for (OptionDescription option : options) {
      boolean needed = option.occurrence() != OptionDescription.Occurrence.OPTIONAL;
      usage.append(needed ? " " + option.usage() : " [" + option.usage() + "]");
    }
    return usage.toString().strip();
  }
}
