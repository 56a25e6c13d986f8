package org.parsleyhead.core.publication;

import java.util.Optional;

/** Reads the version that the value of an item states. Implementations are thread-safe. */
@FunctionalInterface
public interface ItemVersions {

  /** For items that state no versions. */
  ItemVersions NONE = item -> Optional.empty();

  /** Returns the version; empty if the value states none or is malformed. Never throws. */
  Optional<ItemVersion> of(PublishedItem item);
}
