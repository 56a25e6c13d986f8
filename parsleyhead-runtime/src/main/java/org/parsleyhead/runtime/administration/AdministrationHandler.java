package org.parsleyhead.runtime.administration;

/** Handles requests to one page of the administration port. Implementations are thread-safe. */
@FunctionalInterface
public interface AdministrationHandler {

  /** Returns the response to a request. */
  AdministrationResponse handle(AdministrationRequest request);
}
