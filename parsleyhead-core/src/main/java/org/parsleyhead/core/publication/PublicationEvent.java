package org.parsleyhead.core.publication;

import java.util.List;

/** The events of {@link PublicationTransition}. Implementations are immutable and thread-safe. */
public sealed interface PublicationEvent {

  /** A page of a listing was read. */
  record PageRead(int readNumber, List<PublishedItem> items, boolean hasMore, long revision)
      implements PublicationEvent {}

  /** A watch returned the changes up to a revision, possibly none. */
  record WatchReturned(int readNumber, List<PublishedItem> changes, long revision)
      implements PublicationEvent {}

  /** The platform has dropped the history after the requested revision. */
  record HistoryDropped(int readNumber) implements PublicationEvent {}

  /** A read of a page or a watch failed. */
  record ReadFailed(int readNumber, String reason) implements PublicationEvent {}

  /** Another host reported the revision up to which it has read. */
  record PeerRevision(String host, long revision) implements PublicationEvent {}

  /** Another host requested the items that changed after a revision. */
  record UpdateRequested(String host, long afterRevision) implements PublicationEvent {}

  /**
   * Another host sent items.
   *
   * @param host the other host
   * @param items the items that changed after a revision
   * @param afterRevision that revision; 0 for all items, so that what they lack has been deleted
   * @param revision the revision up to which they are complete; 0 if the host does not know
   */
  record UpdateReceived(String host, List<PublishedItem> items, long afterRevision, long revision)
      implements PublicationEvent {

    /** Returns whether the items are all that exist at the revision. */
    boolean wholeCopy() {
      return afterRevision == 0 && revision > 0;
    }
  }

  /** Sets whether this host reads from the platform itself. */
  record ReaderRole(boolean reader) implements PublicationEvent {}

  /** Time has passed. */
  record Tick() implements PublicationEvent {}
}
