package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.ticket.Priority;

/**
 * What one host wants of one adapter on one engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter the adapter
 * @param waiting how many of its requests wait for the adapter
 * @param starts how many requests it started since it last asked
 * @param urgency the class of the first of them
 * @param loadsAhead by how many loads the client account of the first is ahead of its share
 */
public record PinDemand(
    AdapterReference adapter, int waiting, int starts, Priority urgency, int loadsAhead) {

  /** Checks and copies the parts. */
  public PinDemand {
    Preconditions.requireNonNull(adapter, "adapter");
    Preconditions.requireNonNegative(waiting, "waiting");
    Preconditions.requireNonNegative(starts, "starts");
    Preconditions.requireNonNull(urgency, "urgency");
    Preconditions.requireNonNegative(loadsAhead, "loadsAhead");
  }
}
