package org.parsleyhead.core.routing;

import java.time.Duration;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;

/** What the routing duty wants done. Implementations are immutable and thread-safe. */
public sealed interface RoutingEffect {

  /** Sends an attempt to an upstream. */
  record Send(RequestIdentifier identifier, UpstreamName upstream) implements RoutingEffect {}

  /** Refuses an attempt of which nothing was sent, since no upstream may get it. */
  record Refuse(RequestIdentifier identifier, Duration retryAfter) implements RoutingEffect {}

  /** Reports that an upstream gets no calls for a while. */
  record Ejected(UpstreamName upstream, Duration duration) implements RoutingEffect {}

  /** Reports that an upstream gets calls again. */
  record Restored(UpstreamName upstream) implements RoutingEffect {}
}
