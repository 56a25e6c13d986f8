package org.parsleyhead.runtime.command;

import java.io.InputStream;
import java.io.PrintStream;
import org.parsleyhead.core.api.Preconditions;

/**
 * The standard streams of a program.
 *
 * <p>The record is immutable; the thread safety of the streams depends on their classes.
 *
 * @param input the standard input
 * @param output the standard output, for the results of the command
 * @param errors the standard error, for error messages and notices
 */
public record Console(InputStream input, PrintStream output, PrintStream errors) {

  /** Requires all streams. */
  public Console {
    Preconditions.requireNonNull(input, "input");
    Preconditions.requireNonNull(output, "output");
    Preconditions.requireNonNull(errors, "errors");
  }

  /** Returns the standard streams of this process. */
  public static Console ofProcess() {
    return new Console(System.in, System.out, System.err);
  }
}
