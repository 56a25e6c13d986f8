import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class RunRecord {

  private final PrintWriter writer;
  private final long start = System.nanoTime();

  RunRecord(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String text) {
    writer.printf("%8.3f %s%n", seconds(), text);
    writer.flush();
  }
}
