package org.parsleyhead.core.serving;

import org.parsleyhead.core.api.Preconditions;

/**
 * A service that serves a share of the requests of a route.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service
 * @param weight the share, relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {

  /** Validates the components. */
  public WeightedService {
    Preconditions.requireName(service, "service");
    Preconditions.requireNonNegative(weight, "weight");
  }
}
