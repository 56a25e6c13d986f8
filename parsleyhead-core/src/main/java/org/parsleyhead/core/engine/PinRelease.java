package org.parsleyhead.core.engine;

import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Gives pins back: the sender starts no request under them any more.
 *
 * <p>Immutable and thread-safe. Covers pins of requests up to a number only, so that a late release
 * ends no newer pin.
 *
 * @param engine the engine
 * @param throughNumber the highest number of a pin request that it covers
 * @param adapters the adapters
 * @param starts how many requests were started for each since its last pin request
 * @param missing whether the engine was found without the adapters
 */
public record PinRelease(
    UpstreamName engine,
    long throughNumber,
    List<AdapterReference> adapters,
    int starts,
    boolean missing)
    implements PeerMessage {

  /** Checks and copies the parts. */
  public PinRelease {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNegative(throughNumber, "throughNumber");
    Preconditions.requireNonNegative(starts, "starts");
    adapters = List.copyOf(adapters);
  }
}
