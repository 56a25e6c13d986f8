package org.parsleyhead.core.quota;

/**
 * Decides how much of its share a host lends. Implementations are pure.
 *
 * <p>The bound does not depend on it: more than there is is never lent.
 */
@FunctionalInterface
public interface LendingPolicy {

  /** Decides on a loan. */
  Offer decide(LendingView view);

  /** Returns the policy that lends what the demand at the lender leaves. */
  static LendingPolicy byDemand() {
    return DemandLending::decide;
  }

  /** Returns the policy of static equal shares: nothing is lent. */
  static LendingPolicy none() {
    return view -> Offer.NOTHING;
  }

  /**
   * What is lent.
   *
   * @param parts the parts that are lent for a time
   * @param microtokens the tokens that go over for good
   */
  record Offer(long parts, long microtokens) {

    /** No loan. */
    public static final Offer NOTHING = new Offer(0, 0);
  }
}
