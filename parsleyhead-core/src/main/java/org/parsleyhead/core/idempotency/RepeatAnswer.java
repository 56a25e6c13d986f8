package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Answers a claim.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the claim that is answered
 * @param version the host list version that the answer was given under
 * @param vote the answer
 */
public record RepeatAnswer(RequestIdentifier identifier, long version, Vote vote)
    implements PeerMessage {

  /** Checks the parts. */
  public RepeatAnswer {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNegative(version, "version");
    Preconditions.requireNonNull(vote, "vote");
  }

  /** What a member says to a claim. The order is part of the wire format. */
  public enum Vote {
    /** The claim is recorded, and nothing that could matter was forgotten. */
    GRANTED,
    /** Another request with the same repeat key is recorded. */
    DUPLICATE,
    /** The claim is recorded, but records may have been forgotten. */
    UNCERTAIN,
    /** The member acts under another version of the host list, or has no room. */
    DECLINED
  }
}
