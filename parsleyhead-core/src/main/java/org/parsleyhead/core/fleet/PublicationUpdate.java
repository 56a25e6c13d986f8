package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.publication.PublishedItem;

/**
 * The published items that changed after a requested revision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param items the items, in ascending order of revision
 * @param revision the revision up to which the items are complete
 */
public record PublicationUpdate(List<PublishedItem> items, long revision) implements PeerMessage {

  /** Copies the items. */
  public PublicationUpdate {
    items = List.copyOf(items);
  }
}
