package org.parsleyhead.core.engine;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Requests pins from the owner of an engine. A pin is the right to start requests for an adapter on
 * the engine.
 *
 * <p>Immutable and thread-safe. Numbers are unique and increasing within an incarnation.
 *
 * @param engine the engine on which the pins are requested
 * @param number the number of this request
 * @param demands the demand for each requested adapter
 */
public record PinRequest(UpstreamName engine, long number, List<PinDemand> demands)
    implements PeerMessage {

  /** Validates the components and copies the list. */
  public PinRequest {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNegative(number, "number");
    demands = List.copyOf(demands);
  }
}
