package org.parsleyhead.operator.ticket;

import java.util.Optional;

/** Where published documents are read from. */
@FunctionalInterface
public interface DocumentSource {

  /** Returns the document at a path, if there is one. */
  Optional<byte[]> read(String path);
}
