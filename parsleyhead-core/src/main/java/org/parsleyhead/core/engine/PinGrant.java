package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Grants pins on resident adapters.
 *
 * <p>The requesting host may start requests until the duration, reduced by the clock margin, has
 * elapsed since it sent the pin request. It measures this on its own clock.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine that holds the adapters
 * @param requester the incarnation of the requesting process
 * @param number the number of the pin request
 * @param adapters the pinned adapters
 * @param duration how long the pins are valid
 */
public record PinGrant(
    UpstreamName engine,
    Incarnation requester,
    long number,
    List<AdapterReference> adapters,
    Duration duration)
    implements PeerMessage {

  /** Validates the components and copies the list. */
  public PinGrant {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(requester, "requester");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(duration, "duration");
    adapters = List.copyOf(adapters);
  }
}
