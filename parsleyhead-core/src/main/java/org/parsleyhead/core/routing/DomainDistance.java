package org.parsleyhead.core.routing;

import org.parsleyhead.core.api.FailureDomainName;

/** Distance from this host to failure domains. Implementations are pure. */
@FunctionalInterface
public interface DomainDistance {

  /** Returns the distance to a failure domain; closer domains have smaller distances. */
  int to(FailureDomainName domain);

  /** Returns 0 for the failure domain of this host and 1 for all others. */
  static DomainDistance ownFirst(FailureDomainName own) {
    return domain -> domain.equals(own) ? 0 : 1;
  }
}
