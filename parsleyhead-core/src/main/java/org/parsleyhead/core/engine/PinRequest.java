package org.parsleyhead.core.engine;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Asks the owner of an engine for pins: the right to start requests for adapters there.
 *
 * <p>Immutable and thread-safe. A number is used once by each run of a process, in growing order.
 *
 * @param engine the engine
 * @param number the number of this request
 * @param demands the adapters, with what is wanted of them
 */
public record PinRequest(UpstreamName engine, long number, List<PinDemand> demands)
    implements PeerMessage {

  /** Checks and copies the parts. */
  public PinRequest {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNegative(number, "number");
    demands = List.copyOf(demands);
  }
}
