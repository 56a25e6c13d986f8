package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Carries a member's vote on a claim.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the claim
 * @param version the host list version under which the member voted
 * @param vote the vote
 */
public record RepeatAnswer(RequestIdentifier identifier, long version, Vote vote)
    implements PeerMessage {

  /** Validates the components. */
  public RepeatAnswer {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNegative(version, "version");
    Preconditions.requireNonNull(vote, "vote");
  }

  /** The vote of a member on a claim. The order of the constants is part of the wire format. */
  public enum Vote {
    /** The claim is recorded, and the member has lost no relevant records. */
    GRANTED,
    /** Another request with the same repeat key is recorded. */
    DUPLICATE,
    /** The claim is recorded, but the member may have lost relevant records. */
    UNCERTAIN,
    /** The member acts under another version of the host list, or its records are full. */
    DECLINED
  }
}
