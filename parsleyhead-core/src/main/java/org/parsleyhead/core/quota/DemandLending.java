package org.parsleyhead.core.quota;

/**
 * Lends what the demand at the lender leaves, with some reserve.
 *
 * <p>Stateless and thread-safe.
 */
final class DemandLending {

  private static final long RESERVE_PERCENT = 110;
  private static final long TOKEN_RESERVE_MILLISECONDS = 500;

  private DemandLending() {}

  static LendingPolicy.Offer decide(LendingView view) {
    long spareParts = Math.max(0, view.freeParts() - view.demandParts() * RESERVE_PERCENT / 100);
    long reserve = view.demandPerSecond() / 1000 * TOKEN_RESERVE_MILLISECONDS;
    long spareTokens = Math.max(0, view.microtokens() - reserve);
    return new LendingPolicy.Offer(
        Math.min(spareParts, view.requestedParts()),
        Math.min(spareTokens, view.requestedMicrotokens()));
  }
}
