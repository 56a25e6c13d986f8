import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time in milliseconds. Thread-safe. */
final class Record implements AutoCloseable {

  private final long startedAt = System.nanoTime();
  private final PrintWriter file;

  Record(Path path) throws IOException {
    this.file = new PrintWriter(Files.newBufferedWriter(path));
  }

  /** Returns the milliseconds since the start of the record. */
  long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    file.println(now() + " " + String.format(Locale.ROOT, format, values));
    file.flush();
  }

  /** Writes a line to the record and to the standard output. */
  void report(String format, Object... values) {
    line(format, values);
    System.out.println(now() + " " + String.format(Locale.ROOT, format, values));
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
