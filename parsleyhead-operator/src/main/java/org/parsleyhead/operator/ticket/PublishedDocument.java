package org.parsleyhead.operator.ticket;

import org.parsleyhead.core.api.Preconditions;

/**
 * A value to be published to the configuration service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the path of the value
 * @param text the value, in JSON
 */
public record PublishedDocument(String path, String text) {

  /** Requires a valid path and a text. */
  public PublishedDocument {
    Preconditions.requireName(path, "path");
    Preconditions.requireNonNull(text, "text");
  }
}
