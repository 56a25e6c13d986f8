package org.parsleyhead.runtime.command;

/** What a command does once its arguments are checked. */
@FunctionalInterface
public interface CommandBody {

  /**
   * Runs the command to its end.
   *
   * @throws org.parsleyhead.core.api.ParsleyheadException if it fails; the message is printed
   */
  ExitStatus run(CommandArguments arguments, Console console);
}
