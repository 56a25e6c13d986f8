package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Asks a member of the cell to record a request unless it has a record with the same repeat key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the identifier of the request; repetitions have different identifiers
 * @param repeatKey the key that all repetitions of the request share
 * @param version the host list version under which the sender acts
 */
public record RepeatClaim(RequestIdentifier identifier, String repeatKey, long version)
    implements PeerMessage {

  /** Validates the components. */
  public RepeatClaim {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(repeatKey, "repeatKey");
    Preconditions.requireNonNegative(version, "version");
  }
}
