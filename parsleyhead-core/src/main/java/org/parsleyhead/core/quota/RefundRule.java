package org.parsleyhead.core.quota;

/** Decides how many charged but unused tokens are refunded. Implementations are pure functions. */
@FunctionalInterface
interface RefundRule {

  /**
   * Returns the bucket after a refund.
   *
   * @param bucket the bucket before the refund
   * @param position the history position of the charge
   * @param amount the unused microtokens; the refund may be smaller
   */
  TokenBucket refund(TokenBucket bucket, long position, long amount);
}
