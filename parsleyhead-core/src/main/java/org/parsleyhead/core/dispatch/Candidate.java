package org.parsleyhead.core.dispatch;

/**
 * An instance that a request may be assigned to, with the estimated cost.
 *
 * <p>Immutable and thread-safe.
 *
 * @param view the instance
 * @param cost the estimated time to the response plus penalties, in milliseconds
 * @param loadRequirement whether an adapter has to be loaded before the request can be sent
 */
record Candidate(InstanceView view, double cost, LoadRequirement loadRequirement) {

  Candidate withAddedCost(double milliseconds) {
    return new Candidate(view, cost + milliseconds, loadRequirement);
  }

  /** Whether an instance has to load an adapter for a request. Immutable and thread-safe. */
  enum LoadRequirement {
    /** No load is required. */
    NONE,
    /** The adapter is being loaded. */
    IN_PROGRESS,
    /** A load of the adapter has to be ordered. */
    REQUIRED
  }
}
