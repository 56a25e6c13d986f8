package org.parsleyhead.core.quota;

/** Gives tokens back that were charged and not used. Implementations are pure. */
@FunctionalInterface
interface RefundRule {

  /** Returns the bucket after a refund of at most an amount that was charged at a mark. */
  TokenBucket refund(TokenBucket bucket, long mark, long amount);
}
