package org.parsleyhead.core.quota;

/**
 * Lends what the lender's own demand, plus a reserve, does not require. The reserve is smaller if
 * the bucket is at least half full.
 *
 * <p>Stateless and thread-safe.
 */
final class DemandLending {

  private static final long FILLED_RESERVE_PERCENT = 110;
  private static final long DRAINED_RESERVE_PERCENT = 130;
  private static final long TOKEN_RESERVE_MILLISECONDS = 500;

  private DemandLending() {}

  static LendingPolicy.Offer decide(LendingContext context) {
    boolean filled = context.availableMicrotokens() >= context.capacity() / 2;
    long reservePercent = filled ? FILLED_RESERVE_PERCENT : DRAINED_RESERVE_PERCENT;
    long demandParts = context.demandParts() * reservePercent / 100;
    long spareParts = Math.max(0, context.freeParts() - demandParts);
    long reserve = context.demandMicrotokensPerSecond() / 1000 * TOKEN_RESERVE_MILLISECONDS;
    long spareTokens = Math.max(0, context.availableMicrotokens() - reserve);
    return new LendingPolicy.Offer(
        Math.min(spareParts, context.requestedParts()),
        Math.min(spareTokens, context.requestedMicrotokens()));
  }
}
