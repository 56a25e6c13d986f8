package org.parsleyhead.runtime.administration;

/** Answers requests to one page of the operators' port. Implementations are thread-safe. */
@FunctionalInterface
public interface AdministrationHandler {

  /** Answers a request. */
  AdministrationResponse handle(AdministrationRequest request);
}
