package org.parsleyhead.operator.declaration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.parsleyhead.operator.OperatorException;

/** Reads the TOML files of a folder and its subfolders. Stateless and thread-safe. */
public final class DeclarationFolder {

  private static final String SUFFIX = ".toml";

  private DeclarationFolder() {}

  /**
   * Reads and validates a folder.
   *
   * @throws OperatorException if the folder cannot be read or contains no TOML file
   */
  public static Declarations read(Path folder) {
    List<DeclarationFile> files = readFiles(folder);
    if (files.isEmpty()) {
      throw new OperatorException(
          OperatorException.FILE_FAILED, folder + " contains no file that ends in " + SUFFIX);
    }
    return DeclarationParser.parse(files);
  }

  private static List<DeclarationFile> readFiles(Path folder) {
    try (Stream<Path> paths = Files.walk(folder)) {
      return paths
          .filter(path -> path.getFileName().toString().endsWith(SUFFIX))
          .filter(Files::isRegularFile)
          .sorted()
          .map(path -> readFile(folder, path))
          .toList();
    } catch (IOException | UncheckedIOException exception) {
      throw new OperatorException(
          OperatorException.FILE_FAILED, "cannot read " + folder + ": " + exception, exception);
    }
  }

  private static DeclarationFile readFile(Path folder, Path path) {
    try {
      return new DeclarationFile(folder.relativize(path).toString(), Files.readString(path));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
