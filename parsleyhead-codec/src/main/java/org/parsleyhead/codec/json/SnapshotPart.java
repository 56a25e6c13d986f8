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
 * @param part the number of the part, starting at one
 * @param items the items in this part, including tombstones
 */
public record SnapshotPart(TicketNumber number, int part, List<CatalogueEntry> items) {

  /** Validates the components and copies the items. */
  public SnapshotPart {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(part, "part");
    items = List.copyOf(items);
  }
}
