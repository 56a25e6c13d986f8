package org.parsleyhead.core.engine;

import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * The state that an engine reports about itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the name of the engine
 * @param readStarted when the read was started, on the clock of the reading host
 * @param running the number of running requests
 * @param waiting the number of requests queued in the engine
 * @param resident the adapters that the engine holds
 * @param active the adapters with running or waiting requests
 */
public record EngineReport(
    UpstreamName engine,
    MonotonicTime readStarted,
    int running,
    int waiting,
    Set<AdapterReference> resident,
    Set<AdapterReference> active) {

  /** Validates the components and copies the sets. */
  public EngineReport {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(readStarted, "readStarted");
    Preconditions.requireNonNegative(running, "running");
    Preconditions.requireNonNegative(waiting, "waiting");
    resident = Set.copyOf(resident);
    active = Set.copyOf(active);
  }
}
