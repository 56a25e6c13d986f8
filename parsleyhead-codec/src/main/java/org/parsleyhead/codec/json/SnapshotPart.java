package org.parsleyhead.codec.json;

import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * One part of a snapshot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the last ticket that the snapshot contains
 * @param part the number of the part, one or more
 * @param items the items in this part
 */
public record SnapshotPart(TicketNumber number, int part, List<SnapshotItem> items) {

  /** Checks and copies the items. */
  public SnapshotPart {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(part, "part");
    items = List.copyOf(items);
  }
}
