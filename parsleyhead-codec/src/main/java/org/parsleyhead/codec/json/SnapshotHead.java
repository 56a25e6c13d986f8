package org.parsleyhead.codec.json;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * Which snapshot is the last and how many parts it has.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the last ticket that the snapshot contains
 * @param parts how many parts it has
 */
public record SnapshotHead(TicketNumber number, int parts) {

  /** Checks the parts. */
  public SnapshotHead {
    Preconditions.requireNonNull(number, "number");
    Preconditions.requirePositive(parts, "parts");
  }
}
