package org.parsleyhead.codec.json;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The number and size of a published snapshot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number up to which all tickets are merged in it
 * @param parts how many parts it has
 */
public record SnapshotHead(TicketNumber number, int parts) {

  /** Checks the parts. */
  public SnapshotHead {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(parts, "parts");
  }
}
