package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.List;

/** The effects of {@link PublicationTransition}. Implementations are immutable and thread-safe. */
public sealed interface PublicationEffect {

  /** Reads the page of items that starts after a key, on a numbered connection. */
  record ReadPage(int readNumber, int connection, String afterKey) implements PublicationEffect {}

  /** Watches for changes after a revision until the timeout, on a numbered connection. */
  record Watch(int readNumber, int connection, long afterRevision, Duration timeout)
      implements PublicationEffect {}

  /**
   * Reports the items of the copy that have changed, deletions included.
   *
   * @param items the changed items
   * @param source where they come from, for the log
   * @param platformSilence the time since the platform last answered this host
   */
  record Changed(List<PublishedItem> items, String source, Duration platformSilence)
      implements PublicationEffect {}

  /** Reports unknown items that were not taken because the copy at a revision lacks them. */
  record Ignored(List<PublishedItem> items, String source, long revision)
      implements PublicationEffect {

    /** Copies the list. */
    public Ignored {
      items = List.copyOf(items);
    }
  }

  /**
   * Sends items to another host.
   *
   * @param host the other host
   * @param era the era of the store to which the revisions belong
   * @param items the items that changed after a revision
   * @param afterRevision that revision; 0 for all items, so that what they lack has been deleted
   * @param revision the revision up to which they are complete; 0 if this host does not know
   * @param former what remains in force of former eras; unknown unless all items are sent
   */
  record SendUpdate(
      String host,
      long era,
      List<PublishedItem> items,
      long afterRevision,
      long revision,
      FormerCopy former)
      implements PublicationEffect {}

  /** Requests the items that changed after a revision of an era from another host. */
  record RequestUpdate(String host, long era, long afterRevision) implements PublicationEffect {}

  /**
   * Reports that the store was restored from a copy.
   *
   * @param source where this host learned of it
   * @param formerEra the era that was known before
   * @param era the era from now on
   * @param formerRevision the revision up to which the copy was complete in the former era
   * @param formerItems the number of items that remain in force until the store shows newer ones
   */
  record EraIncreased(String source, long formerEra, long era, long formerRevision, int formerItems)
      implements PublicationEffect {}

  /**
   * Reports an answer or an update that was dropped because its era is lower than the known one.
   *
   * @param source where it comes from
   * @param era its era
   * @param knownEra the known era
   */
  record EraLower(String source, long era, long knownEra) implements PublicationEffect {}

  /**
   * Reports items of the store that are not in force because they may be, or are, older than what
   * was in force when the era increased.
   *
   * @param keys their keys
   * @param source where they come from
   * @param era the era of the store
   */
  record Outdated(List<String> keys, String source, long era) implements PublicationEffect {

    /** Copies the list. */
    public Outdated {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Reports the end of the confirmation time.
   *
   * @param era the era of the store
   * @param deleted the keys that were not written again and count as deleted
   * @param replaced the number of items that the store's items replaced at the end
   * @param outdated the number of items of the store that remain ignored
   */
  record EraConfirmed(long era, List<String> deleted, int replaced, int outdated)
      implements PublicationEffect {

    /** Copies the list. */
    public EraConfirmed {
      deleted = List.copyOf(deleted);
    }
  }

  /**
   * Reports that the platform became unreachable, or that it answers again.
   *
   * @param reachable whether the last read succeeded
   * @param reason the outcome of that read
   * @param silence the time since the answer before it
   * @param revision the revision up to which the copy was complete before that read
   */
  record Reachability(boolean reachable, String reason, Duration silence, long revision)
      implements PublicationEffect {}

  /** Reports once that a read is in progress and the platform has not answered for a while. */
  record PlatformSilent(Duration silence, long revision) implements PublicationEffect {}
}
