package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Returns a permit to its issuer after the transfer has ended, or unused.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the permit request
 * @param used whether a transfer was started
 */
public record PermitReturn(long number, boolean used) implements PeerMessage {

  /** Validates the components. */
  public PermitReturn {
    Preconditions.requireNonNegative(number, "number");
  }
}
