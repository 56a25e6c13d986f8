package org.parsleyhead.core.routing;

import java.util.List;
import java.util.Set;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.UpstreamItem;

/** The events of {@link RoutingTransition}. Implementations are immutable and thread-safe. */
public sealed interface RoutingEvent {

  /** The declared upstreams changed; model servers among them are ignored. */
  record UpstreamsChanged(List<UpstreamItem> upstreams) implements RoutingEvent {

    /** Copies the list. */
    public UpstreamsChanged {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * An attempt of a call requests an upstream.
   *
   * @param identifier the identity of the attempt
   * @param upstreams the upstreams of the route
   * @param excluded the upstreams that must not be chosen
   * @param idempotent whether the call may be repeated
   * @param randomNumber a uniformly distributed random number
   */
  record UpstreamRequested(
      RequestIdentifier identifier,
      Set<UpstreamName> upstreams,
      Set<UpstreamName> excluded,
      boolean idempotent,
      long randomNumber)
      implements RoutingEvent {

    /** Copies the sets. */
    public UpstreamRequested {
      upstreams = Set.copyOf(upstreams);
      excluded = Set.copyOf(excluded);
    }
  }

  /** An attempt at an upstream ended. */
  record AttemptEnded(RequestIdentifier identifier, UpstreamName upstream, AttemptOutcome outcome)
      implements RoutingEvent {}
}
