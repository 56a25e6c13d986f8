package org.parsleyhead.core.placement;

import java.util.Map;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RegionName;

/**
 * The settings of the decisions where requests may be sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the name of this host in the sets of live hosts
 * @param expectsPeers whether this host was told of other hosts at its start
 * @param regions the region of each failure domain, as far as it is known
 */
public record PlacementSettings(
    String self, boolean expectsPeers, Map<FailureDomainName, RegionName> regions) {

  /** Validates the components and copies the regions. */
  public PlacementSettings {
    Preconditions.requireNonNull(self, "self");
    regions = Map.copyOf(regions);
  }

  /** Creates the settings of a host that knows no regions. */
  public PlacementSettings(String self, boolean expectsPeers) {
    this(self, expectsPeers, Map.of());
  }
}
