package org.parsleyhead.core.engine;

import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Asks a host to release its pin on an adapter, since the owner wants the slot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param adapter the adapter
 */
public record PinRecall(UpstreamName engine, AdapterReference adapter) implements PeerMessage {

  /** Checks and copies the parts. */
  public PinRecall {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(adapter, "adapter");
  }
}
