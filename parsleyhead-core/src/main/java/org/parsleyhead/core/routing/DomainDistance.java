package org.parsleyhead.core.routing;

import org.parsleyhead.core.api.FailureDomainName;

/** How far failure domains are from this host. Implementations are pure. */
@FunctionalInterface
public interface DomainDistance {

  /** Returns the distance; nearer domains have smaller ones. */
  int to(FailureDomainName domain);

  /** Prefers this host's own domain and makes no difference between the others. */
  static DomainDistance ownFirst(FailureDomainName own) {
    return domain -> domain.equals(own) ? 0 : 1;
  }
}
