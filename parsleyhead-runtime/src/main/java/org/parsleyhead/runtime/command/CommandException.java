package org.parsleyhead.runtime.command;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a command has invalid arguments or fails; carries the exit status. */
public final class CommandException extends ParsleyheadException {

  /** The code of invalid arguments. */
  public static final String USAGE = "usage";

  /** The code of a command whose arguments were valid but that failed. */
  public static final String FAILED = "command_failed";

  private static final long serialVersionUID = 1L;

  private final ExitStatus status;

  private CommandException(String code, ExitStatus status, String message, Throwable cause) {
    super(code, message, cause);
    this.status = status;
  }

  /** Returns an error for invalid arguments; the message states what is expected. */
  public static CommandException usage(String message) {
    return new CommandException(USAGE, ExitStatus.USAGE, message, null);
  }

  /** Returns an error for a command that failed. */
  public static CommandException failed(String message, Throwable cause) {
    return new CommandException(FAILED, ExitStatus.FAILURE, message, cause);
  }

  /** Returns the exit status of the program. */
  public ExitStatus status() {
    return status;
  }
}
