package org.parsleyhead.runtime.command;

import org.parsleyhead.core.api.ParsleyheadException;

/** Thrown when a program cannot do what its command line asks; carries the exit status. */
public final class CommandException extends ParsleyheadException {

  /** The code of arguments that cannot be used. */
  public static final String USAGE = "usage";

  /** The code of a command that was understood but failed. */
  public static final String FAILED = "command_failed";

  private static final long serialVersionUID = 1L;

  private final ExitStatus status;

  private CommandException(String code, ExitStatus status, String message, Throwable cause) {
    super(code, message, cause);
    this.status = status;
  }

  /** Returns an error for arguments that cannot be used; the message names the fix. */
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
