package org.parsleyhead.runtime.command;

/** The code that a command runs with its validated arguments. */
@FunctionalInterface
public interface CommandBody {

  /**
   * Runs the command and returns its exit status.
   *
   * @throws org.parsleyhead.core.api.ParsleyheadException if the command fails; the message is
   *     printed
   */
  ExitStatus run(CommandArguments arguments, Console console);
}
