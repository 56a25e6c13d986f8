package org.parsleyhead.codec.json;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.CatalogueEntry;

/**
 * One part of a published snapshot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the snapshot
 * @param part the number of the part, one or more
 * @param items the items, tombstones included
 */
public record SnapshotPart(TicketNumber number, int part, List<CatalogueEntry> items) {

  /** Checks and copies the parts. */
  public SnapshotPart {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(part, "part");
    items = List.copyOf(items);
  }
}
