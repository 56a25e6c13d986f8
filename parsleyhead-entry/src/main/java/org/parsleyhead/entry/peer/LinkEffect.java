package org.parsleyhead.entry.peer;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;

/** The output of {@link LinkTransition}. Implementations are immutable and thread-safe. */
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
   * Sends a ping to check that the connection is alive.
   *
   * @param host the other host
   * @param link the number of the connection
   */
  record Ping(HostName host, long link) implements LinkEffect {}

  /**
   * Closes a connection.
   *
   * @param link the number of the connection
   * @param unresponsive whether it is replaced because a ping was not answered in time
   */
  record Close(long link, boolean unresponsive) implements LinkEffect {}

  /**
   * Counts dropped messages.
   *
   * @param messages the number of messages
   */
  record Drop(int messages) implements LinkEffect {}
}
