package org.parsleyhead.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.parsleyhead.load.result.ReportLine;

/**
 * Reads and writes the files of the load generator.
 *
 * <p>Stateless and thread-safe.
 */
final class ResultFiles {

  private ResultFiles() {}

  /**
   * Reads a text file.
   *
   * @throws LoadException if it cannot be read
   */
  static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException exception) {
      throw new LoadException(LoadException.FILE_FAILED, "cannot read " + file, exception);
    }
  }

  /**
   * Decodes one object from each non-blank line of several files.
   *
   * @throws LoadException if a file cannot be read, or if the decoder rejects a line
   */
  static <T> List<T> readLines(List<Path> files, Function<String, T> decoder) {
    List<T> objects = new ArrayList<>();
    for (Path file : files) {
      readText(file).lines().filter(line -> !line.isBlank()).map(decoder).forEach(objects::add);
    }
    return objects;
  }

  /**
   * Writes a text file.
   *
   * @throws LoadException if it cannot be written
   */
  static void writeText(Path file, String text) {
    try {
      Files.writeString(file, text);
    } catch (IOException exception) {
      throw new LoadException(LoadException.FILE_FAILED, "cannot write " + file, exception);
    }
  }

  /**
   * Writes a report as a JSON document.
   *
   * @throws LoadException if it cannot be written
   */
  static void writeReport(Path file, List<ReportLine> lines) {
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    lines.forEach(line -> list.add(line.json()));
    writeText(file, list.toPrettyString() + "\n");
  }
}
