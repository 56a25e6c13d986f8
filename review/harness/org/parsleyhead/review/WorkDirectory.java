package org.parsleyhead.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A temporary folder for settings and logs, which is deleted at the end. Immutable. */
record WorkDirectory(Path path) implements AutoCloseable {

  static WorkDirectory create() throws IOException {
    return new WorkDirectory(Files.createTempDirectory("parsleyhead-review"));
  }

  @Override
  public void close() throws IOException {
    List<Path> entries;
    try (Stream<Path> files = Files.walk(path)) {
      entries = files.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path entry : entries) {
      Files.deleteIfExists(entry);
    }
  }
}
