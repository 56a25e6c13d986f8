package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.Preconditions;

/**
 * Whether a process takes requests of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ready whether the balancer may send requests here
 * @param reason why, as one word or several joined by underscores
 */
public record Readiness(boolean ready, String reason) {

  /** The readiness of a process that serves. */
  public static final Readiness READY = new Readiness(true, "serving");

  /** Checks the reason. */
  public Readiness {
    Preconditions.requireName(reason, "reason");
  }

  /** Returns the readiness of a process that must get no requests. */
  public static Readiness notReady(String reason) {
    return new Readiness(false, reason);
  }
}
