package org.parsleyhead.core.serving;

import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.placement.HomeRegions;

/**
 * Maps the requests for a host name and a path prefix to services.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the requested host name
 * @param prefix the path prefix; starts and ends with a slash
 * @param kind whether a request may run more than once, and whether it is streamed
 * @param timeout the maximum time until the response is complete
 * @param latencyTarget the target time to the response, or to its first event
 * @param eventGapTarget the target for the maximum time between two events of a stream
 * @param priority the priority; 0 is the most urgent
 * @param services the services with their weights
 * @param attempts the maximum number of attempts that may have run a request
 * @param open whether requests need no key
 * @param homeRegions the regions in which its requests may be served
 */
public record ServiceRoute(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    Duration timeout,
    Duration latencyTarget,
    Duration eventGapTarget,
    int priority,
    List<WeightedService> services,
    int attempts,
    boolean open,
    HomeRegions homeRegions) {

  /** Validates the components and copies the list. */
  public ServiceRoute {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNull(prefix, "prefix");
    Preconditions.requireNonNull(kind, "kind");
    Preconditions.requirePositive(timeout.toNanos(), "timeout");
    Preconditions.requirePositive(attempts, "attempts");
    services = List.copyOf(Preconditions.requireNotEmpty(services, "services"));
    Preconditions.requireNonNull(homeRegions, "homeRegions");
  }

  /** Creates a route whose requests may be served anywhere. */
  public ServiceRoute(
      String name,
      String host,
      String prefix,
      RequestKind kind,
      Duration timeout,
      Duration latencyTarget,
      Duration eventGapTarget,
      int priority,
      List<WeightedService> services,
      int attempts,
      boolean open) {
    this(
        name,
        host,
        prefix,
        kind,
        timeout,
        latencyTarget,
        eventGapTarget,
        priority,
        services,
        attempts,
        open,
        HomeRegions.ANYWHERE);
  }

  /**
   * Returns the service for a request, in proportion to the weights.
   *
   * @param hash a hash of the request that is the same for all of its attempts
   */
  public String serviceFor(long hash) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total == 0) {
      return services.get(0).service();
    }
    long remainder = Math.floorMod(hash, total);
    for (WeightedService candidate : services) {
      if (remainder < candidate.weight()) {
        return candidate.service();
      }
      remainder -= candidate.weight();
    }
    return services.get(0).service();
  }
}
