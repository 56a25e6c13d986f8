package org.parsleyhead.core.routing;

import java.util.List;
import java.util.Set;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.UpstreamItem;

/** What the routing duty hears. Implementations are immutable and thread-safe. */
public sealed interface RoutingEvent {

  /** The upstreams changed; model servers among them are ignored. */
  record UpstreamsChanged(List<UpstreamItem> upstreams) implements RoutingEvent {

    /** Copies the list. */
    public UpstreamsChanged {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * A call needs an upstream.
   *
   * @param identifier the identity of the attempt
   * @param upstreams the upstreams of its route
   * @param excluded upstreams that it must not be sent to
   * @param idempotent whether the call may be repeated
   * @param randomNumber a random number
   */
  record UpstreamWanted(
      RequestIdentifier identifier,
      Set<UpstreamName> upstreams,
      Set<UpstreamName> excluded,
      boolean idempotent,
      long randomNumber)
      implements RoutingEvent {

    /** Copies the sets. */
    public UpstreamWanted {
      upstreams = Set.copyOf(upstreams);
      excluded = Set.copyOf(excluded);
    }
  }

  /** An attempt at an upstream ended. */
  record AttemptEnded(RequestIdentifier identifier, UpstreamName upstream, AttemptOutcome outcome)
      implements RoutingEvent {}
}
