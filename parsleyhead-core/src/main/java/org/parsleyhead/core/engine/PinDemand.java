package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.Priority;

/**
 * The demand of one host for one adapter on one engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter the requested adapter
 * @param waitingRequests the number of requests of the host that wait for the adapter
 * @param startedRequests the number of requests started since the last pin request
 * @param priority the priority of the first waiting request
 * @param loadsAhead the number of loads by which the client account of the first waiting request is
 *     ahead of its share
 */
public record PinDemand(
    AdapterReference adapter,
    int waitingRequests,
    int startedRequests,
    Priority priority,
    int loadsAhead) {

  /** Validates the components. */
  public PinDemand {
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNegative(waitingRequests, "waitingRequests");
    Preconditions.requireNonNegative(startedRequests, "startedRequests");
    Preconditions.requireNonNull(priority, "priority");
    Preconditions.requireNonNegative(loadsAhead, "loadsAhead");
  }
}
