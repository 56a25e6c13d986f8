package org.parsleyhead.core.ticket;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * One part of a transfer of items that the receiver may lack. All parts of a transfer describe one
 * state of the sender and are merged together, so that no ticket is merged partially.
 *
 * <p>Immutable and thread-safe.
 *
 * @param comparison the identifier of the {@link DigestComparison} to which this is the reply
 * @param identifier the identifier, unique among the transfers of the sender
 * @param part the number of this part, starting at 1
 * @param parts the number of parts of the transfer
 * @param mergedThrough the number up to which all tickets are merged in the sent state
 * @param items the items in this part
 */
public record ItemTransfer(
    long comparison,
    long identifier,
    int part,
    int parts,
    long mergedThrough,
    List<CatalogueEntry> items)
    implements PeerMessage {

  /** The maximum number of parts of a transfer. */
  public static final int MAXIMUM_PARTS = 256;

  /** Validates the components and copies the collections. */
  public ItemTransfer {
    Preconditions.require(parts >= 1 && parts <= MAXIMUM_PARTS, "parts", "is out of range");
    Preconditions.require(part >= 1 && part <= parts, "part", "is out of range");
    Preconditions.requireNonNegative(mergedThrough, "mergedThrough");
    items = List.copyOf(items);
  }
}
