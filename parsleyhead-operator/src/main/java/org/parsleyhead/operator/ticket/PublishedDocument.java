package org.parsleyhead.operator.ticket;

import org.parsleyhead.core.api.Preconditions;

/**
 * One value for the configuration service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path of the value
 * @param text the value, in JSON
 */
public record PublishedDocument(String path, String text) {

  /** Checks the parts. */
  public PublishedDocument {
    Preconditions.requireName(path, "path");
    Preconditions.requireNonNull(text, "text");
  }
}
