package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.entry.upstream.EngineClient;

/**
 * The collaborators through which the duties of an entry host receive events and execute effects.
 *
 * <p>Immutable; the components are thread-safe.
 *
 * @param rings the rings of the duties
 * @param peers routes messages between hosts
 * @param requests executes the effects of the request duty
 * @param engines reads the state of engines and sends them load and unload orders
 */
record DutyDependencies(
    Rings rings, PeerRouter peers, Consumer<RequestEffect> requests, EngineClient engines) {

  DutyDependencies {
    Preconditions.requireNonNull(rings, "rings");
    Preconditions.requireNonNull(peers, "peers");
    Preconditions.requireNonNull(requests, "requests");
    Preconditions.requireNonNull(engines, "engines");
  }
}
