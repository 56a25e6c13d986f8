package org.parsleyhead.core.idempotency;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * Asks a member of the cell to record a request, unless it has a record of it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the attempt to run the request; repetitions have other identifiers
 * @param repeatKey equal for each repetition of the request
 * @param version the host list version that the sender acts under
 */
public record RepeatClaim(RequestIdentifier identifier, String repeatKey, long version)
    implements PeerMessage {

  /** Checks the parts. */
  public RepeatClaim {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(repeatKey, "repeatKey");
    Preconditions.requireNonNegative(version, "version");
  }
}
