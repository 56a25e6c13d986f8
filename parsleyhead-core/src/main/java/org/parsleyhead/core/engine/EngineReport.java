package org.parsleyhead.core.engine;

import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * An engine's own answer about itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param readStarted when the reading was begun, on the clock of the reader
 * @param running how many requests it runs
 * @param waiting how many requests wait in it
 * @param resident the adapters that it holds
 * @param active the adapters with running or waiting requests
 */
public record EngineReport(
    UpstreamName engine,
    MonotonicTime readStarted,
    int running,
    int waiting,
    Set<AdapterReference> resident,
    Set<AdapterReference> active) {

  /** Checks and copies the parts. */
  public EngineReport {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNull(readStarted, "readStarted");
    Preconditions.requireNonNegative(running, "running");
    Preconditions.requireNonNegative(waiting, "waiting");
    resident = Set.copyOf(resident);
    active = Set.copyOf(active);
  }
}
