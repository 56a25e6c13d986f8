package org.parsleyhead.operator.declaration;

import org.parsleyhead.core.api.Preconditions;

/**
 * A problem in a folder of declarations.
 *
 * <p>Immutable and thread-safe. Ordered by file and path.
 *
 * @param file the file, relative to the folder
 * @param path the path of the table or field in the file
 * @param text a description of the problem, with the remedy if there is one
 */
public record Problem(String file, String path, String text) implements Comparable<Problem> {

  /** Requires all components. */
  public Problem {
    Preconditions.requireNonNull(file, "file");
    Preconditions.requireNonNull(path, "path");
    Preconditions.requireNonNull(text, "text");
  }

  @Override
  public int compareTo(Problem other) {
    int byFile = file.compareTo(other.file);
    return byFile != 0 ? byFile : path.compareTo(other.path);
  }

  @Override
  public String toString() {
    return path.isEmpty() ? file + ": " + text : file + ": " + path + ": " + text;
  }
}
