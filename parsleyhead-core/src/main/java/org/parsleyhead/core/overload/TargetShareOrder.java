package org.parsleyhead.core.overload;

import java.time.Duration;

/**
 * Gives each request a turn after a share of its latency target that grows with its priority value,
 * plus its work. A request that can no longer meet its target gets a later turn, after a share of
 * the time to its deadline.
 *
 * <p>Stateless and thread-safe. No request starves: its turn is a fixed instant before its
 * deadline, while the turns of new arrivals are always in the future. {@code
 * docs/design/overload.md} compares this order with others.
 */
public final class TargetShareOrder implements RankOrder {

  /** Share of the latency target after which a request of priority 0 has its turn. */
  private static final double TARGET_SHARE = 0.5;

  /** Added to the share of the target by each step of the priority. */
  private static final double TARGET_SHARE_STEP = 0.25;

  /** Share of the time to the deadline after which a late request of priority 0 has its turn. */
  private static final double LIMIT_SHARE = 0.6;

  /** Added to the share of the time to the deadline by each step of the priority. */
  private static final double LIMIT_SHARE_STEP = 0.1;

  /** Priorities beyond this one count as this one, so that every turn is before the deadline. */
  private static final int LOWEST_PRIORITY = 2;

  @Override
  public Duration turn(RequestRank rank) {
    int steps = Math.min(LOWEST_PRIORITY, rank.priority());
    Duration turn = scaled(rank.target(), TARGET_SHARE + TARGET_SHARE_STEP * steps);
    if (!rank.meetsTarget()) {
      Duration late = scaled(rank.limit(), LIMIT_SHARE + LIMIT_SHARE_STEP * steps);
      turn = late.compareTo(turn) > 0 ? late : turn;
    }
    return turn.plus(rank.work()).minus(rank.waited());
  }

  private static Duration scaled(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
