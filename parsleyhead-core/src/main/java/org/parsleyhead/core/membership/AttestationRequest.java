package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Asks another host of the cell to use nothing that belongs to the sender's incarnation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce a number that identifies this request
 * @param listVersion the version of the sender's host list
 */
public record AttestationRequest(long nonce, long listVersion) implements PeerMessage {

  /** Checks the version. */
  public AttestationRequest {
    Preconditions.requireNonNegative(listVersion, "listVersion");
  }
}
