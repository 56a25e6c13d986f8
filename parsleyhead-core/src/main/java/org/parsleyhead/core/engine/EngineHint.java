package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * The state of an engine that its owner last read. A hint grants no right to start requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the name of the engine
 * @param running the number of running requests
 * @param waiting the number of requests queued in the engine
 * @param resident the adapters that the engine holds
 * @param age the time since the owner started the read
 */
public record EngineHint(
    UpstreamName engine, int running, int waiting, Set<AdapterReference> resident, Duration age)
    implements PeerMessage {

  /** Validates the components and copies the set. */
  public EngineHint {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNegative(running, "running");
    Preconditions.requireNonNegative(waiting, "waiting");
    Preconditions.requireNonNull(age, "age");
    resident = Set.copyOf(resident);
  }
}
