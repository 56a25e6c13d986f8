package org.parsleyhead.operator.fleet;

import org.parsleyhead.core.api.Endpoint;

/** Requests pages from the administration port of a host. Implementations are thread-safe. */
@FunctionalInterface
public interface HostQuery {

  /**
   * Returns the body of a page.
   *
   * @throws org.parsleyhead.operator.OperatorException if there is no successful response in time
   */
  String get(Endpoint endpoint, String pathAndQuery);
}
