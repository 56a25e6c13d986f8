package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * Decides when a host may start to use rights that it has attested not to use.
 *
 * <p>Implementations are pure.
 */
@FunctionalInterface
interface ClaimRule {

  /**
   * Returns the earliest time at which no host relies on the last attestation any longer.
   *
   * @param lastAttested when the attestation was issued, or when this process started if it cannot
   *     know whether a previous run issued one
   */
  MonotonicTime earliestClaim(MonotonicTime lastAttested);
}
