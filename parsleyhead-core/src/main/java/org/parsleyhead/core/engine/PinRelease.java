package org.parsleyhead.core.engine;

import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Releases pins: the sender starts no further requests under them.
 *
 * <p>Immutable and thread-safe. Covers only pins of requests up to a number, so that a delayed
 * release does not end a newer pin.
 *
 * @param engine the engine on which the pins were granted
 * @param throughNumber the highest pin request number that the release covers
 * @param adapters the adapters whose pins are released
 * @param startedRequests the number of requests started for each adapter since its last pin request
 * @param missing whether the engine was found without the adapters
 */
public record PinRelease(
    UpstreamName engine,
    long throughNumber,
    List<AdapterReference> adapters,
    int startedRequests,
    boolean missing)
    implements PeerMessage {

  /** Validates the components and copies the list. */
  public PinRelease {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNegative(throughNumber, "throughNumber");
    Preconditions.requireNonNegative(startedRequests, "startedRequests");
    adapters = List.copyOf(adapters);
  }
}
