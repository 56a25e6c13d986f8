package org.parsleyhead.entry.peer;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;

/** The input of {@link LinkTransition}. Implementations are immutable and thread-safe. */
sealed interface LinkEvent {

  /**
   * A tick interval has elapsed.
   *
   * @param randomNumber a random number from which retry delays are derived
   */
  record Tick(long randomNumber) implements LinkEvent {}

  /**
   * A message was submitted for sending.
   *
   * @param host the receiver
   * @param endpoint where the receiver listens
   * @param message the message
   */
  record SendRequested(HostName host, Endpoint endpoint, PeerMessage message)
      implements LinkEvent {}

  /**
   * A connection was opened.
   *
   * @param host the other host
   * @param link the number of the connection
   */
  record Connected(HostName host, long link) implements LinkEvent {}

  /**
   * A connection failed to open or was closed.
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
   * Another host opened a connection and sent a message, so it is reachable again.
   *
   * @param host the other host
   */
  record HostReachable(HostName host) implements LinkEvent {}
}
