package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RegionName;

/**
 * One entry host on the published list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name
 * @param peerEndpoint where it listens for other entry hosts
 * @param region the region it stands in
 * @param failureDomain the failure domain it stands in
 * @param cell the group of hosts with which it shares limits and ownership
 * @param leaving whether it is about to stop
 */
public record HostEntry(
    HostName name,
    Endpoint peerEndpoint,
    RegionName region,
    FailureDomainName failureDomain,
    String cell,
    boolean leaving) {

  /** Checks the parts. */
  public HostEntry {
    Preconditions.requireNonNull(name, "name");
    Preconditions.requireNonNull(peerEndpoint, "peer_endpoint");
    Preconditions.requireNonNull(region, "region");
    Preconditions.requireNonNull(failureDomain, "failure_domain");
    Preconditions.requireName(cell, "cell");
  }
}
