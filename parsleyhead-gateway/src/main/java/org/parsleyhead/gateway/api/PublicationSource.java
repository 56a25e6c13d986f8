package org.parsleyhead.gateway.api;

import java.time.Duration;
import java.util.function.Consumer;
import org.parsleyhead.core.publication.PublicationEvent;

/**
 * Reads the items that the platform publishes.
 *
 * <p>Implementations are thread-safe and never block; each call leads to exactly one event, unless
 * the platform never answers.
 */
public interface PublicationSource {

  /**
   * Reads the page of items that starts after a key.
   *
   * @param readNumber the number of the read, which the event repeats
   * @param connection the number of the connection; reads with different numbers share none
   * @param afterKey the last key of the previous page; empty for the first page
   * @param listener receives the event
   */
  void readPage(
      int readNumber, int connection, String afterKey, Consumer<PublicationEvent> listener);

  /**
   * Watches for changes after a revision.
   *
   * @param readNumber the number of the read, which the event repeats
   * @param connection the number of the connection; reads with different numbers share none
   * @param afterRevision the revision that is already known
   * @param timeout how long the platform holds the watch open while nothing changes
   * @param listener receives the event
   */
  void watch(
      int readNumber,
      int connection,
      long afterRevision,
      Duration timeout,
      Consumer<PublicationEvent> listener);
}
