package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Requests an attestation from another host of the cell: the promise not to use rights that belong
 * to this run of the sender's process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce identifies this request
 * @param listVersion the version of the sender's host list
 */
public record AttestationRequest(long nonce, long listVersion) implements PeerMessage {

  /** Validates the list version. */
  public AttestationRequest {
    Preconditions.requireNonNegative(listVersion, "listVersion");
  }
}
