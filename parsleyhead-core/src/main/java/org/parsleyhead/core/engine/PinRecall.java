package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Asks a host to release its pin on an adapter because the owner needs the slot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine that holds the adapter
 * @param adapter the pinned adapter
 */
public record PinRecall(UpstreamName engine, AdapterReference adapter) implements PeerMessage {

  /** Validates the components. */
  public PinRecall {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(adapter, "adapter");
  }
}
