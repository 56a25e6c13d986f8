package org.parsleyhead.operator.fleet;

import org.parsleyhead.core.api.Endpoint;

/** Asks the operators' port of a host for a page. Implementations are thread-safe. */
@FunctionalInterface
public interface HostQuery {

  /**
   * Returns the text of a page.
   *
   * @throws org.parsleyhead.operator.OperatorException if there is no good answer in time
   */
  String get(Endpoint endpoint, String pathAndQuery);
}
