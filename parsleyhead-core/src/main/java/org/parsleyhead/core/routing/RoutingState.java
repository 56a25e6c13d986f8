package org.parsleyhead.core.routing;

import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of the routing duty of one host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstreams the health of the plain services, by upstream name
 */
public record RoutingState(PMap<UpstreamName, UpstreamHealth> upstreams) {

  /** Returns the state of a process that has just started. */
  public static RoutingState initial() {
    return new RoutingState(HashTreePMap.empty());
  }

  /** Returns whether an upstream is ejected. */
  public boolean isEjected(UpstreamName upstream) {
    UpstreamHealth health = upstreams.get(upstream);
    return health != null && health.isEjected();
  }

  RoutingState with(UpstreamHealth health) {
    return new RoutingState(upstreams.plus(health.item().name(), health));
  }
}
