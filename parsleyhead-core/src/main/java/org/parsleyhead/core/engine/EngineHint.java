package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;

/**
 * What the owner of an engine last read of it. A hint gives no right to start a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param running how many requests it runs
 * @param waiting how many requests wait in it
 * @param resident the adapters that it holds
 * @param age the time since the owner began to read it
 */
public record EngineHint(
    UpstreamName engine, int running, int waiting, Set<AdapterReference> resident, Duration age)
    implements PeerMessage {

  /** Checks and copies the parts. */
  public EngineHint {
    Preconditions.requireNonNull(engine, "engine");
    Preconditions.requireNonNegative(running, "running");
    Preconditions.requireNonNegative(waiting, "waiting");
    Preconditions.requireNonNull(age, "age");
    resident = Set.copyOf(resident);
  }
}
