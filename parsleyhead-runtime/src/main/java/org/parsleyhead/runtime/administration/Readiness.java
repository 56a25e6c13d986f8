package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.Preconditions;

/**
 * Whether a process accepts requests of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ready whether the load balancer may send requests to this process
 * @param reason the reason, as one word or several words joined by underscores
 */
public record Readiness(boolean ready, String reason) {

  /** The readiness of a process that serves callers. */
  public static final Readiness READY = new Readiness(true, "serving");

  /** Requires a reason that is a valid name. */
  public Readiness {
    Preconditions.requireName(reason, "reason");
  }

  /** Returns the readiness of a process that must not receive requests. */
  public static Readiness notReady(String reason) {
    return new Readiness(false, reason);
  }
}
