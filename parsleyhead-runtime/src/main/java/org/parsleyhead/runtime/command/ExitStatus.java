package org.parsleyhead.runtime.command;

/** The exit codes of all programs. Immutable and thread-safe. */
public enum ExitStatus {
  /** The program did what it was asked to do. */
  SUCCESS(0),
  /** The program understood its arguments and settings but failed. */
  FAILURE(1),
  /** The arguments or settings cannot be used; nothing was done. */
  USAGE(2);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the code that the process exits with. */
  public int code() {
    return code;
  }
}
