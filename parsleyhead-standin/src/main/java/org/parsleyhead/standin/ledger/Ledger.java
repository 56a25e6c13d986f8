package org.parsleyhead.standin.ledger;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.standin.StandinException;

/**
 * The ledger of all upstreams of one process, kept in memory and, optionally, in a file.
 *
 * <p>Thread-safe. Entries keep the order in which they were recorded. Each line is written and
 * flushed before the next one.
 */
public final class Ledger implements AutoCloseable {

  private final Optional<BufferedWriter> writer;
  private final List<LedgerEntry> entries = new ArrayList<>();

  private Ledger(Optional<BufferedWriter> writer) {
    this.writer = writer;
  }

  /** Creates a ledger that is kept in memory only. */
  public static Ledger inMemory() {
    return new Ledger(Optional.empty());
  }

  /**
   * Creates a ledger that also writes its entries to a file; an existing file is replaced.
   *
   * @throws StandinException if the file cannot be written
   */
  public static Ledger inFile(Path file) {
    try {
      return new Ledger(Optional.of(Files.newBufferedWriter(file)));
    } catch (IOException exception) {
      throw fileFailure(exception);
    }
  }

  /**
   * Appends an entry.
   *
   * @throws StandinException if the file cannot be written
   */
  public synchronized void record(LedgerEntry entry) {
    entries.add(entry);
    writer.ifPresent(file -> write(file, entry));
  }

  /** Returns all entries since the start or the last call of {@link #clear()}. */
  public synchronized List<LedgerEntry> entries() {
    return List.copyOf(entries);
  }

  /** Removes the entries in memory; a file is unchanged. */
  public synchronized void clear() {
    entries.clear();
  }

  @Override
  public synchronized void close() {
    try {
      if (writer.isPresent()) {
        writer.get().close();
      }
    } catch (IOException exception) {
      throw fileFailure(exception);
    }
  }

  private static void write(BufferedWriter file, LedgerEntry entry) {
    try {
      file.write(LedgerCodec.encode(entry));
      file.newLine();
      file.flush();
    } catch (IOException exception) {
      throw fileFailure(exception);
    }
  }

  private static StandinException fileFailure(IOException exception) {
    return new StandinException(
        StandinException.FILE_FAILED,
        "cannot write the ledger file: " + exception.getMessage(),
        exception);
  }
}
