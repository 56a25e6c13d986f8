package org.parsleyhead.runtime.command;

import java.io.InputStream;
import java.io.PrintStream;
import org.parsleyhead.core.api.Preconditions;

/**
 * The standard streams that a program reads and writes.
 *
 * <p>The record is immutable; the streams are as thread-safe as their classes say.
 *
 * @param input the standard input
 * @param output what the command was asked for
 * @param errors what went wrong
 */
public record Console(InputStream input, PrintStream output, PrintStream errors) {

  /** Checks the parts. */
  public Console {
    Preconditions.requireNonNull(input, "input");
    Preconditions.requireNonNull(output, "output");
    Preconditions.requireNonNull(errors, "errors");
  }

  /** Returns the streams of this process. */
  public static Console ofProcess() {
    return new Console(System.in, System.out, System.err);
  }
}
