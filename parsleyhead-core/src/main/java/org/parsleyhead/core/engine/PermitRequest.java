package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Asks the keeper of the transfer allowance for one transfer from the weight store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the request, used once by each run of a process
 * @param replaces the number of the request that it takes the place of in the queue; the same
 *     number if none
 * @param waiting how many requests wait for the adapter
 */
public record PermitRequest(long number, long replaces, int waiting) implements PeerMessage {

  /** Checks and copies the parts. */
  public PermitRequest {
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNegative(waiting, "waiting");
  }
}
