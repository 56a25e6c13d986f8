package org.parsleyhead.core.overload;

import java.time.Duration;

/**
 * Estimates whether a request can still be answered before its deadline.
 *
 * <p>Answers overload, in which work for requests that cannot be answered in time delays all
 * others. Stateless and thread-safe. A late response still has some value to most callers, so an
 * estimate counts only as far as it is certain.
 */
public final class DeadlineEstimate {

  /**
   * Part of the expected work that is certain: a long prompt whose shared parts are cached takes 75
   * of 239 ms.
   */
  private static final double CERTAIN_WORK_FRACTION = 0.25;

  private DeadlineEstimate() {}

  /**
   * Returns whether a request cannot be answered before its deadline.
   *
   * @param certainWait the time that will certainly pass before it can be sent
   */
  public static boolean hopeless(RequestRank rank, Duration certainWait) {
    Duration certainWork = Duration.ofNanos((long) (rank.work().toNanos() * CERTAIN_WORK_FRACTION));
    return certainWait.plus(certainWork).compareTo(rank.untilDeadline()) > 0;
  }
}
