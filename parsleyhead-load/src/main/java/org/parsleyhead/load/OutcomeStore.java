package org.parsleyhead.load;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.load.result.Outcome;
import org.parsleyhead.load.result.OutcomeCodec;

/**
 * Stores all outcomes of a run in memory and, if a file is given, on disk.
 *
 * <p>Thread-safe.
 */
final class OutcomeStore implements AutoCloseable {

  private final Optional<BufferedWriter> writer;
  private final List<Outcome> outcomes = new ArrayList<>();

  /**
   * Opens the file and replaces any existing content.
   *
   * @throws LoadException if it cannot be written
   */
  OutcomeStore(Optional<Path> file) {
    try {
      writer =
          file.isPresent() ? Optional.of(Files.newBufferedWriter(file.get())) : Optional.empty();
    } catch (IOException exception) {
      throw writeFailure(exception);
    }
  }

  synchronized void add(Outcome outcome) {
    outcomes.add(outcome);
    try {
      if (writer.isPresent()) {
        writer.get().write(OutcomeCodec.encode(outcome));
        writer.get().newLine();
      }
    } catch (IOException exception) {
      throw writeFailure(exception);
    }
  }

  synchronized List<Outcome> outcomes() {
    return List.copyOf(outcomes);
  }

  @Override
  public synchronized void close() {
    try {
      if (writer.isPresent()) {
        writer.get().close();
      }
    } catch (IOException exception) {
      throw writeFailure(exception);
    }
  }

  private static LoadException writeFailure(IOException exception) {
    return new LoadException(
        LoadException.FILE_FAILED,
        "cannot write the outcome file: " + exception.getMessage(),
        exception);
  }
}
