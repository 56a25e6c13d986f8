package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Gives pins on resident adapters.
 *
 * <p>The asking host may start requests until the duration after it sent the pin request, on its
 * own clock and less its margin.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param requester the run of the process that asked
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

  /** Checks and copies the parts. */
  public PinGrant {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(requester, "requester");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(duration, "duration");
    adapters = List.copyOf(adapters);
  }
}
