package org.parsleyhead.operator.declaration;

import org.parsleyhead.core.api.Preconditions;

/**
 * The content of a file of declarations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the path, relative to the folder
 * @param text the content, in TOML
 */
public record DeclarationFile(String name, String text) {

  /** Requires both components. */
  public DeclarationFile {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(text, "text");
  }
}
