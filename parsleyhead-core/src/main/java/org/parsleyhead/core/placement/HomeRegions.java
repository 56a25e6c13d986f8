package org.parsleyhead.core.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.RegionName;

/**
 * The regions in which requests may be served.
 *
 * <p>Immutable and thread-safe.
 *
 * @param regions the permitted regions; empty if there is no restriction, an empty set if no region
 *     is permitted
 */
public record HomeRegions(Optional<Set<RegionName>> regions) {

  /** Requests may be served anywhere. */
  public static final HomeRegions ANYWHERE = new HomeRegions(Optional.empty());

  /** Copies the regions. */
  public HomeRegions {
    regions = regions.map(Set::copyOf);
  }

  /** Returns the restriction to some regions. */
  public static HomeRegions of(Set<RegionName> regions) {
    return new HomeRegions(Optional.of(regions));
  }

  /** Returns the regions that both restrictions permit. */
  public HomeRegions and(HomeRegions other) {
    if (regions.isEmpty() || other.regions.isEmpty()) {
      return regions.isEmpty() ? other : this;
    }
    Set<RegionName> both = new HashSet<>(regions.get());
    both.retainAll(other.regions.get());
    return of(both);
  }

  /**
   * Returns whether a server may serve the requests.
   *
   * @param region the region of its failure domain; empty if it is not known
   */
  public boolean allow(Optional<RegionName> region) {
    return regions.isEmpty() || region.map(regions.get()::contains).orElse(false);
  }
}
