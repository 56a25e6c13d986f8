package org.parsleyhead.core.engine;

import org.parsleyhead.core.membership.Standing;

/**
 * Fencing numbers of orders, which engines that check them compare.
 *
 * <p>Stateless and thread-safe. A number of a later list version is greater than all numbers of
 * earlier ones, so an owner of an older list is refused once the new owner gave an order. Within
 * one version an engine has one owner; the lower bits tell its runs apart.
 */
final class FencingNumber {

  private static final int RUN_BITS = 16;
  private static final int RETRY_BITS = 8;
  private static final long RUN_MASK = (1L << RUN_BITS) - 1;
  private static final long LARGEST_RETRY = (1L << RETRY_BITS) - 1;

  private FencingNumber() {}

  /**
   * Returns the number of the next order.
   *
   * @param standing the list version and the run of this process
   * @param retries how often the engine refused a number of this owner at this version
   */
  static long of(Standing standing, long retries) {
    long run = standing.incarnation().value() & RUN_MASK;
    return (standing.version() << (RETRY_BITS + RUN_BITS))
        | (Math.min(retries, LARGEST_RETRY) << RUN_BITS)
        | run;
  }
}
