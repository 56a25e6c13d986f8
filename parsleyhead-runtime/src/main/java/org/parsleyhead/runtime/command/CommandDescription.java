package org.parsleyhead.runtime.command;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;

/**
 * What one command is called, takes and does.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name; empty for the only command of a program
 * @param operands the names of its operands, in capitals and in order; all of them are required
 * @param options the options
 * @param summary one line for the help text
 */
public record CommandDescription(
    String name, List<String> operands, List<OptionDescription> options, String summary) {

  /** Checks and copies the parts. */
  public CommandDescription {
    Preconditions.requireNonNull(name, "name");
    operands = List.copyOf(operands);
    options = List.copyOf(options);
    Preconditions.requireNonNull(summary, "summary");
  }

  /** Returns the command line as the help text shows it. */
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
