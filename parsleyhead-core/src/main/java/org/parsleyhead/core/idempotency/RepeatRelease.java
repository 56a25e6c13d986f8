package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Says that a recorded request certainly did not run, so that it may be sent again.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the claim
 * @param repeatKey the repeat key of the claim
 */
public record RepeatRelease(RequestIdentifier identifier, String repeatKey) implements PeerMessage {

  /** Checks the parts. */
  public RepeatRelease {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(repeatKey, "repeatKey");
  }
}
