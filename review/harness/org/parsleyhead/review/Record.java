package org.parsleyhead.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens in a case to its record, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {

  private final long startedAt = System.nanoTime();
  private final PrintWriter output;

  Record(Path file) {
    try {
      output = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Returns the seconds since the start. */
  double now() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void write(String format, Object... values) {
    output.printf(Locale.ROOT, "%8.3f %s%n", now(), String.format(Locale.ROOT, format, values));
    output.flush();
  }

  /** Writes a line to the record and to the standard output. */
  void announce(String format, Object... values) {
    write(format, values);
    System.out.printf(Locale.ROOT, format + "%n", values);
  }

  @Override
  public synchronized void close() {
    output.close();
  }
}
