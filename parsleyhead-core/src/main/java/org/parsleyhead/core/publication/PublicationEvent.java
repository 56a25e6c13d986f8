package org.parsleyhead.core.publication;

import java.util.List;

/** The events of {@link PublicationTransition}. Implementations are immutable and thread-safe. */
public sealed interface PublicationEvent {

  /** The answer to a read, with the era of the store, which is 0 if the store states none. */
  sealed interface StoreAnswer extends PublicationEvent {

    /** Returns the number of the read. */
    int readNumber();

    /** Returns the era of the store. */
    long era();
  }

  /** A page of a listing was read. */
  record PageRead(
      int readNumber, long era, List<PublishedItem> items, boolean hasMore, long revision)
      implements StoreAnswer {

    /** Creates a page of a store that states no era. */
    public PageRead(int readNumber, List<PublishedItem> items, boolean hasMore, long revision) {
      this(readNumber, 0, items, hasMore, revision);
    }
  }

  /** A watch returned the changes up to a revision, possibly none. */
  record WatchReturned(int readNumber, long era, List<PublishedItem> changes, long revision)
      implements StoreAnswer {

    /** Creates the answer of a store that states no era. */
    public WatchReturned(int readNumber, List<PublishedItem> changes, long revision) {
      this(readNumber, 0, changes, revision);
    }
  }

  /**
   * The platform has dropped the history after the requested revision, or does not have that
   * revision.
   */
  record HistoryDropped(int readNumber, long era) implements StoreAnswer {

    /** Creates the answer of a store that states no era. */
    public HistoryDropped(int readNumber) {
      this(readNumber, 0);
    }
  }

  /** A read of a page or a watch failed. */
  record ReadFailed(int readNumber, String reason) implements PublicationEvent {}

  /** Another host reported the era and the revision up to which it has read. */
  record PeerRevision(String host, long era, long revision) implements PublicationEvent {}

  /** Another host requested the items that changed after a revision of an era. */
  record UpdateRequested(String host, long era, long afterRevision) implements PublicationEvent {}

  /**
   * Another host sent items.
   *
   * @param host the other host
   * @param era the era of the store to which the revisions belong
   * @param items the items that changed after a revision
   * @param afterRevision that revision; 0 for all items, so that what they lack has been deleted
   * @param revision the revision up to which they are complete; 0 if the host does not know
   * @param former what remains in force of former eras on the other host
   */
  record UpdateReceived(
      String host,
      long era,
      List<PublishedItem> items,
      long afterRevision,
      long revision,
      FormerCopy former)
      implements PublicationEvent {

    /** Creates the update of a host that knows nothing of former eras. */
    public UpdateReceived(
        String host, long era, List<PublishedItem> items, long afterRevision, long revision) {
      this(host, era, items, afterRevision, revision, FormerCopy.UNKNOWN);
    }

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
