package org.parsleyhead.core.engine;

import org.parsleyhead.core.membership.RightsSnapshot;

/**
 * Computes the fencing numbers of orders. Engines that check them reject an order whose number is
 * lower than one they have received.
 *
 * <p>Stateless and thread-safe. Numbers of a later host list version are greater than all numbers
 * of earlier versions, so the owner by an older list is rejected once the new owner has sent an
 * order. Within one version an engine has one owner; the lower bits distinguish the incarnations of
 * the owner's process.
 */
final class FencingNumber {

  private static final int INCARNATION_BITS = 16;
  private static final int RETRY_BITS = 8;
  private static final long INCARNATION_MASK = (1L << INCARNATION_BITS) - 1;
  private static final long MAXIMUM_RETRY = (1L << RETRY_BITS) - 1;

  private FencingNumber() {}

  /**
   * Returns the fencing number of the next order.
   *
   * @param rightsSnapshot provides the host list version and the incarnation of this process
   * @param retries how often the engine has rejected a number of this owner
   */
  static long of(RightsSnapshot rightsSnapshot, long retries) {
    long incarnation = rightsSnapshot.incarnation().value() & INCARNATION_MASK;
    return (rightsSnapshot.version() << (RETRY_BITS + INCARNATION_BITS))
        | (Math.min(retries, MAXIMUM_RETRY) << INCARNATION_BITS)
        | incarnation;
  }
}
