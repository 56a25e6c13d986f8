package org.parsleyhead.operator.declaration;

import org.parsleyhead.core.api.Preconditions;

/**
 * The text of one file of declarations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, relative to the folder
 * @param text the text, in TOML
 */
public record DeclarationFile(String name, String text) {

  /** Checks the parts. */
  public DeclarationFile {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(text, "text");
  }
}
