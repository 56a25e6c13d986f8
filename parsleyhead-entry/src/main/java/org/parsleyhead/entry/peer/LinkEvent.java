package org.parsleyhead.entry.peer;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;

/** What the outgoing connections are told. Implementations are immutable and thread-safe. */
sealed interface LinkEvent {

  /**
   * Time has passed.
   *
   * @param randomNumber a random number, for delays
   */
  record Tick(long randomNumber) implements LinkEvent {}

  /**
   * A message is to be sent.
   *
   * @param host the receiver
   * @param endpoint where it listens
   * @param message the message
   */
  record SendRequested(HostName host, Endpoint endpoint, PeerMessage message)
      implements LinkEvent {}

  /**
   * A connection is open.
   *
   * @param host the other host
   * @param link the number of the connection
   */
  record Connected(HostName host, long link) implements LinkEvent {}

  /**
   * A connection could not be opened, or was closed.
   *
   * @param host the other host
   * @param link the number of the connection
   */
  record Closed(HostName host, long link) implements LinkEvent {}

  /**
   * The other host answered a ping.
   *
   * @param host the other host
   * @param link the number of the connection
   */
  record PongReceived(HostName host, long link) implements LinkEvent {}

  /**
   * Another host opened a connection and sent a message, so it can be reached again.
   *
   * @param host the other host
   */
  record HostHeard(HostName host) implements LinkEvent {}
}
