package org.parsleyhead.core.placement;

import org.parsleyhead.core.api.FailureDomainName;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The failure domains whose servers receive no further requests.
 *
 * <p>Immutable and thread-safe. A domain without any known server may be a member, since a host
 * that starts during an evacuation reads the evacuations before the servers.
 *
 * @param domains the evacuated domains
 */
public record EvacuatedDomains(PSet<FailureDomainName> domains) {

  /** No domain is evacuated. */
  public static final EvacuatedDomains NONE = new EvacuatedDomains(HashTreePSet.empty());

  /** Returns whether a domain is evacuated. */
  public boolean contains(FailureDomainName domain) {
    return domains.contains(domain);
  }

  /** Returns the domains after the evacuation of one was requested or revoked. */
  public EvacuatedDomains with(FailureDomainName domain, boolean evacuated) {
    return contains(domain) == evacuated
        ? this
        : new EvacuatedDomains(evacuated ? domains.plus(domain) : domains.minus(domain));
  }

  /** Returns the number of evacuated domains. */
  public int size() {
    return domains.size();
  }
}
