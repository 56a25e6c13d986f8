package org.parsleyhead.codec.json;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The number of a published snapshot and of its parts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the ticket number up to which all tickets are merged into the snapshot
 * @param parts the number of parts
 */
public record SnapshotHead(TicketNumber number, int parts) {

  /** Validates the components. */
  public SnapshotHead {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(parts, "parts");
  }
}
