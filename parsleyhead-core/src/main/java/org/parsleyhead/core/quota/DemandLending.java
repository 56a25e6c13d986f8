package org.parsleyhead.core.quota;

/**
 * Lends what the demand at the lender leaves, with some reserve.
 *
 * <p>Stateless and thread-safe.
 */
final class DemandLending {

  private static final long FILLED_RESERVE_PERCENT = 110;
  private static final long DRAINED_RESERVE_PERCENT = 130;
  private static final long TOKEN_RESERVE_MILLISECONDS = 500;

  private DemandLending() {}

  static LendingPolicy.Offer decide(LendingView view) {
    boolean filled = view.microtokens() >= view.capacity() / 2;
    long reservePercent = filled ? FILLED_RESERVE_PERCENT : DRAINED_RESERVE_PERCENT;
    long demandParts = view.demandParts() * reservePercent / 100;
    long spareParts = Math.max(0, view.freeParts() - demandParts);
    long reserve = view.demandPerSecond() / 1000 * TOKEN_RESERVE_MILLISECONDS;
    long spareTokens = Math.max(0, view.microtokens() - reserve);
    return new LendingPolicy.Offer(
        Math.min(spareParts, view.requestedParts()),
        Math.min(spareTokens, view.requestedMicrotokens()));
  }
}
