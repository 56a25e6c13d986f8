package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Requests a permit for one transfer from the weight store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the request, unique within an incarnation
 * @param replaces the number of the queued request whose queueing time it inherits; equal to {@code
 *     number} if it replaces none
 * @param weight the load priority of the adapter; permits are granted in descending order of weight
 */
public record PermitRequest(long number, long replaces, int weight) implements PeerMessage {

  /** Validates the components. */
  public PermitRequest {
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNegative(weight, "weight");
  }
}
