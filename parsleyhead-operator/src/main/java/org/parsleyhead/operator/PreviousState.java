package org.parsleyhead.operator;

import java.util.Optional;
import java.util.SortedMap;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Item;
import org.parsleyhead.core.ticket.ItemKey;

/**
 * The declared items and the published catalogue before a ticket.
 *
 * <p>Immutable and thread-safe.
 *
 * @param items the declared items
 * @param catalogue the published catalogue with its ticket numbers and deletions; empty if only a
 *     folder of declarations is known
 */
record PreviousState(SortedMap<ItemKey, Item> items, Optional<Catalogue> catalogue) {

  /** Requires both components. */
  PreviousState {
    Preconditions.requireNonNull(items, "items");
    Preconditions.requireNonNull(catalogue, "catalogue");
  }
}
