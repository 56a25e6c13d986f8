package org.parsleyhead.runtime.command;

/** The exit statuses of all programs. Immutable and thread-safe. */
public enum ExitStatus {
  /** The program completed successfully. */
  SUCCESS(0),
  /** The arguments and settings were valid, but the program failed. */
  FAILURE(1),
  /** The arguments or settings are invalid; nothing was done. */
  USAGE(2);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
