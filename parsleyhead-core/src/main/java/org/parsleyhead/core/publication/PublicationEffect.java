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
   * @param items the items that changed after a revision
   * @param afterRevision that revision; 0 for all items, so that what they lack has been deleted
   * @param revision the revision up to which they are complete; 0 if this host does not know
   */
  record SendUpdate(String host, List<PublishedItem> items, long afterRevision, long revision)
      implements PublicationEffect {}

  /** Requests the items that changed after a revision from another host. */
  record RequestUpdate(String host, long afterRevision) implements PublicationEffect {}

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
