package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * Whether this host is a member: a host that is certain to know all other members of the fleet.
 *
 * <p>Immutable and thread-safe. Only members vote, claim leases, forget hosts and admit others.
 *
 * @param known whether this host is a member
 * @param since when it became a member, or when it began to join
 * @param firstStart whether the whole fleet starts for the first time
 * @param informed whether a member has listed the hosts of the fleet since this host began to join
 * @param newcomer whether a member that acknowledged this host had not counted it before
 * @param majorityAt when it was last in contact with a majority of the members
 * @param orders the orders of other hosts that were observed while joining
 */
record Membership(
    boolean known,
    MonotonicTime since,
    boolean firstStart,
    boolean informed,
    boolean newcomer,
    MonotonicTime majorityAt,
    ObservedOrders orders) {

  /** Returns the state of a host that begins to join. */
  static Membership joining(boolean firstStart, MonotonicTime time, MonotonicTime firstReportAt) {
    return new Membership(
        false, time, firstStart, false, false, time, ObservedOrders.none(firstReportAt));
  }

  /** Returns the state of a host that has become a member. */
  Membership joined(MonotonicTime time) {
    return new Membership(true, time, false, false, false, time, ObservedOrders.none(time));
  }

  Membership withMajorityContact(MonotonicTime time) {
    return new Membership(known, since, firstStart, informed, newcomer, time, orders);
  }

  Membership asInformed() {
    return new Membership(known, since, firstStart, true, newcomer, majorityAt, orders);
  }

  Membership withNewcomer() {
    return new Membership(known, since, firstStart, informed, true, majorityAt, orders);
  }

  Membership withOrders(ObservedOrders next) {
    return new Membership(known, since, firstStart, informed, newcomer, majorityAt, next);
  }
}
