package org.parsleyhead.core.publication;

import java.time.Duration;
import java.util.List;

/** The effects of {@link PublicationTransition}. Implementations are immutable and thread-safe. */
public sealed interface PublicationEffect {

  /** Reads the page of items that starts after a key. */
  record ReadPage(int readNumber, String afterKey) implements PublicationEffect {}

  /** Watches for changes after a revision until the timeout. */
  record Watch(int readNumber, long afterRevision, Duration timeout) implements PublicationEffect {}

  /** Reports the items of the copy that have changed, deletions included. */
  record Changed(List<PublishedItem> items, String source) implements PublicationEffect {}

  /** Sends the items that changed to another host. */
  record SendUpdate(String host, List<PublishedItem> items, long revision)
      implements PublicationEffect {}

  /** Requests the items that changed after a revision from another host. */
  record RequestUpdate(String host, long afterRevision) implements PublicationEffect {}

  /** Reports that the platform became unreachable, or reachable again. */
  record Reachability(boolean reachable, String reason) implements PublicationEffect {}
}
