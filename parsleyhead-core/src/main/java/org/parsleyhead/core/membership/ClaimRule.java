package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * Decides from when a host may use what it attested not to use.
 *
 * <p>Implementations are pure.
 */
@FunctionalInterface
interface ClaimRule {

  /**
   * Returns the first instant at which nobody relies any longer on the last attestation.
   *
   * @param lastAttested when the attestation was given, or when this process started if it cannot
   *     know of one
   */
  MonotonicTime freeFrom(MonotonicTime lastAttested);
}
