package org.parsleyhead.operator.ticket;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.operator.OperatorException;

/**
 * A folder of published documents: one file for each document, and a list of the documents of the
 * last rendering.
 *
 * <p>Immutable. Two processes must not write to the same folder concurrently.
 */
public final class DocumentFolder implements DocumentSource {

  /**
   * The file that lists the last rendering in publishing order; each line has a path, a space and a
   * file name.
   */
  public static final String PUBLISHING_ORDER_FILE = "publish.txt";

  private static final String SUFFIX = ".json";

  private final Path folder;

  /** Creates a view of a folder, which need not exist until it is written to. */
  public DocumentFolder(Path folder) {
    this.folder = folder;
  }

  @Override
  public Optional<byte[]> read(String path) {
    Path file = fileOf(path);
    try {
      return Files.exists(file) ? Optional.of(Files.readAllBytes(file)) : Optional.empty();
    } catch (IOException exception) {
      throw failed("read", file, exception);
    }
  }

  /**
   * Writes documents in order, then the list of them.
   *
   * @throws OperatorException if a file cannot be written
   */
  public void write(List<PublishedDocument> documents) {
    StringBuilder order = new StringBuilder();
    for (PublishedDocument document : documents) {
      writeFile(fileOf(document.path()), document.text());
      order.append(document.path()).append(' ').append(document.path()).append(SUFFIX).append('\n');
    }
    writeFile(folder.resolve(PUBLISHING_ORDER_FILE), order.toString());
  }

  private Path fileOf(String path) {
    return folder.resolve(path + SUFFIX);
  }

  private static void writeFile(Path file, String text) {
    try {
      Files.createDirectories(file.toAbsolutePath().getParent());
      Files.writeString(file, text);
    } catch (IOException exception) {
      throw failed("write", file, exception);
    }
  }

  private static OperatorException failed(String action, Path file, IOException exception) {
    return new OperatorException(
        OperatorException.FILE_FAILED,
        "cannot " + action + " " + file + ": " + exception,
        exception);
  }
}
