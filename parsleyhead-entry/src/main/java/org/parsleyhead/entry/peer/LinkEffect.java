package org.parsleyhead.entry.peer;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;

/** What the outgoing connections need. Implementations are immutable and thread-safe. */
sealed interface LinkEffect {

  /**
   * Opens a connection.
   *
   * @param host the other host
   * @param link the number of the connection
   * @param endpoint where the other host listens
   */
  record Connect(HostName host, long link, Endpoint endpoint) implements LinkEffect {}

  /**
   * Writes a message.
   *
   * @param host the receiver
   * @param link the number of the connection
   * @param message the message
   */
  record Write(HostName host, long link, PeerMessage message) implements LinkEffect {}

  /**
   * Asks for a sign of life.
   *
   * @param host the other host
   * @param link the number of the connection
   */
  record Ping(HostName host, long link) implements LinkEffect {}

  /**
   * Closes a connection.
   *
   * @param link the number of the connection
   * @param silent whether it is replaced since nothing was heard on it
   */
  record Close(long link, boolean silent) implements LinkEffect {}

  /**
   * Counts messages that were dropped.
   *
   * @param messages how many
   */
  record Drop(int messages) implements LinkEffect {}
}
