package org.parsleyhead.integration.soak;

import java.util.List;
import java.util.Set;
import org.parsleyhead.core.api.Endpoint;

/**
 * What happened to a gateway host and what it says it did. Immutable and thread-safe.
 *
 * @param endpoint the endpoint for callers
 * @param stops the planned stops of its processes
 * @param interruptions the periods in which its process was paused, killed or not there
 * @param sentRequests the requests that its processes say they sent to servers
 */
record HostHistory(
    Endpoint endpoint, List<Stop> stops, List<Period> interruptions, Set<String> sentRequests) {

  HostHistory {
    stops = List.copyOf(stops);
    interruptions = List.copyOf(interruptions);
    sentRequests = Set.copyOf(sentRequests);
  }

  /**
   * A planned stop. Times are values of {@link System#nanoTime()}.
   *
   * @param signalledAt the time right before the signal was sent
   * @param exitedAt when the process was seen to be gone
   */
  record Stop(long signalledAt, long exitedAt) {

    boolean overlaps(long from, long until) {
      return signalledAt - until <= 0 && exitedAt - from >= 0;
    }
  }

  /**
   * A period. Times are values of {@link System#nanoTime()}.
   *
   * @param from its beginning
   * @param until its end; {@link Long#MAX_VALUE} if it has not ended
   */
  record Period(long from, long until) {

    boolean overlaps(long otherFrom, long otherUntil) {
      return from <= otherUntil && until >= otherFrom;
    }
  }
}
