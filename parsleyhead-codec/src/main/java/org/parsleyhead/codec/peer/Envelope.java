package org.parsleyhead.codec.peer;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Sender;

/**
 * A peer message with its sender.
 *
 * <p>Immutable and thread-safe if the message is.
 *
 * @param sender the host and incarnation that sent the message
 * @param message the message
 */
public record Envelope(Sender sender, PeerMessage message) {

  /** Validates the components. */
  public Envelope {
    Preconditions.requireNonNull(sender, "sender");
    Preconditions.requireNonNull(message, "message");
  }
}
