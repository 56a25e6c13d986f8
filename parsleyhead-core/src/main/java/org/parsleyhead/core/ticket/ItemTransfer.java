package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * A part of the items that the receiver may lack. The parts of one transfer come from one state of
 * the sender and are merged together, so that no ticket comes into force by halves.
 *
 * <p>Immutable and thread-safe.
 *
 * @param comparison the comparison of the receiver that is answered
 * @param identifier identifies the transfer among those of the sender
 * @param part the number of this part, one or more
 * @param parts how many parts the transfer has
 * @param mergedThrough the number up to which the sender had merged all tickets
 * @param items the items in this part
 */
public record ItemTransfer(
    long comparison,
    long identifier,
    int part,
    int parts,
    long mergedThrough,
    List<HeardItem> items)
    implements PeerMessage {

  /** The most parts of one transfer. */
  public static final int MAXIMUM_PARTS = 256;

  /** Checks and copies the parts. */
  public ItemTransfer {
    Preconditions.require(parts >= 1 && parts <= MAXIMUM_PARTS, "parts", "is out of range");
    Preconditions.require(part >= 1 && part <= parts, "part", "is out of range");
    Preconditions.requireNonNegative(mergedThrough, "mergedThrough");
    items = List.copyOf(items);
  }
}
