package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.publication.FormerCopy;
import org.parsleyhead.core.publication.PublishedItem;

/**
 * The published items that changed after a revision of an era of the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param era the era of the store to which the items belong
 * @param items the items, in ascending order of revision
 * @param afterRevision that revision; 0 for all items, so that what they lack has been deleted
 * @param revision the revision up to which the items are complete; 0 if the sender does not know
 * @param former what remains in force of former eras; unknown unless all items are sent
 */
public record PublicationUpdate(
    long era, List<PublishedItem> items, long afterRevision, long revision, FormerCopy former)
    implements PeerMessage {

  /** Copies the items. */
  public PublicationUpdate {
    items = List.copyOf(items);
  }
}
