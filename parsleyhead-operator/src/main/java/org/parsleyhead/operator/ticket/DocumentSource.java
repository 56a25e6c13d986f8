package org.parsleyhead.operator.ticket;

import java.util.Optional;

/** A source of published documents. */
@FunctionalInterface
public interface DocumentSource {

  /** Returns the document at a path, if it exists. */
  Optional<byte[]> read(String path);
}
