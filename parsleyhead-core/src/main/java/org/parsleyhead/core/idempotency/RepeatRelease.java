package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Announces that a recorded request definitely did not run, so that a repetition may run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the claim
 * @param repeatKey the repeat key of the claim
 */
public record RepeatRelease(RequestIdentifier identifier, String repeatKey) implements PeerMessage {

  /** Validates the components. */
  public RepeatRelease {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(repeatKey, "repeatKey");
  }
}
