package org.parsleyhead.entry.process;

import java.util.function.Consumer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.entry.upstream.EngineClient;

/**
 * What the duties of an entry host are joined to.
 *
 * <p>Immutable; the parts are thread-safe.
 *
 * @param rings their rings
 * @param peers messages between hosts
 * @param requests the effects of requests
 * @param engines readings of and orders to engines
 */
record DutySockets(
    Rings rings, PeerRouter peers, Consumer<RequestEffect> requests, EngineClient engines) {

  DutySockets {
    Preconditions.requireNonNull(rings, "rings");
    Preconditions.requireNonNull(peers, "peers");
    Preconditions.requireNonNull(requests, "requests");
    Preconditions.requireNonNull(engines, "engines");
  }
}
