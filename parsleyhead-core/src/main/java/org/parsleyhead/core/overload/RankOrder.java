package org.parsleyhead.core.overload;

import java.time.Duration;

/**
 * Decides in which order waiting requests get capacity.
 *
 * <p>Answers a lack of adapter slots, server slots or retries: whatever the order, some requests
 * are late, and the order determines which. Implementations are pure.
 */
@FunctionalInterface
public interface RankOrder {

  /**
   * Returns the turn of a request, relative to now; the request with the earliest turn is first.
   * The turn as an instant changes at most once while the request waits: when it can no longer meet
   * its latency target. It never becomes earlier.
   */
  Duration turn(RequestRank rank);
}
