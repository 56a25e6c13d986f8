package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Tells the keeper that a transfer has ended or that its permit is not used.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the permit request
 * @param used whether a transfer was started
 */
public record PermitReturn(long number, boolean used) implements PeerMessage {

  /** Checks and copies the parts. */
  public PermitReturn {
    Preconditions.requireNonNegative(number, "number");
  }
}
