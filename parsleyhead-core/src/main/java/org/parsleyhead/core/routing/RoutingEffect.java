package org.parsleyhead.core.routing;

import java.time.Duration;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;

/** The effects of {@link RoutingTransition}. Implementations are immutable and thread-safe. */
public sealed interface RoutingEffect {

  /** Sends an attempt to an upstream. */
  record Send(RequestIdentifier identifier, UpstreamName upstream) implements RoutingEffect {}

  /** Refuses an attempt before anything was sent, since no upstream is available for it. */
  record Refuse(RequestIdentifier identifier, Duration retryAfter) implements RoutingEffect {}

  /** Reports that an upstream is ejected: it receives no calls for a period. */
  record Ejected(UpstreamName upstream, Duration duration) implements RoutingEffect {}

  /** Reports that an upstream is no longer ejected. */
  record Restored(UpstreamName upstream) implements RoutingEffect {}
}
