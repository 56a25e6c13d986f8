package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RegionName;

/**
 * An entry host on the published host list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the host
 * @param peerEndpoint the endpoint on which it accepts connections from other entry hosts
 * @param region the region of the host
 * @param failureDomain the failure domain of the host
 * @param cell the group of hosts that share limits and the ownership of engines
 * @param leaving whether the host is about to stop
 */
public record HostEntry(
    HostName name,
    Endpoint peerEndpoint,
    RegionName region,
    FailureDomainName failureDomain,
    String cell,
    boolean leaving) {

  /** Validates the components. */
  public HostEntry {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(peerEndpoint, "peer_endpoint");
    Preconditions.requireNonNull(region, "region");
    Preconditions.requireNonNull(failureDomain, "failure_domain");
    Preconditions.requireName(cell, "cell");
  }
}
