package org.parsleyhead.core.quota;

/**
 * Decides how much of its share a host lends. Implementations are pure functions.
 *
 * <p>The bound on admitted tokens does not depend on the policy: offers are capped at what the
 * lender has.
 */
@FunctionalInterface
public interface LendingPolicy {

  /** Returns the offer for a loan request. */
  Offer decide(LendingContext context);

  /** Returns the policy that lends what the lender's own demand does not require. */
  static LendingPolicy byDemand() {
    return DemandLending::decide;
  }

  /** Returns the policy that lends nothing, so that all shares stay equal. */
  static LendingPolicy none() {
    return context -> Offer.NOTHING;
  }

  /**
   * The amounts that a lender offers.
   *
   * @param parts the parts to lend for a limited time
   * @param microtokens the microtokens to transfer permanently
   */
  record Offer(long parts, long microtokens) {

    /** No loan. */
    public static final Offer NOTHING = new Offer(0, 0);
  }
}
