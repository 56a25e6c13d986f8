package org.parsleyhead.core.fleet;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.overload.RankOrder;
import org.parsleyhead.core.overload.RequestRank;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * A load that has been requested but not yet ordered.
 *
 * <p>Immutable and thread-safe.
 *
 * @param adapter the adapter to load
 * @param requesters the endpoints of the hosts that wait for the load
 * @param requestedAt when it was first requested
 * @param rank the rank of the request with the earliest turn that waits for the load
 * @param rankedAt the instant at which the rank was current
 */
record PendingLoad(
    AdapterKey adapter,
    PSet<String> requesters,
    MonotonicTime requestedAt,
    RequestRank rank,
    MonotonicTime rankedAt) {

  static PendingLoad of(LoadRequest request, MonotonicTime time) {
    return new PendingLoad(
        request.adapter(), HashTreePSet.singleton(request.endpoint()), time, request.rank(), time);
  }

  /** Returns this load with a further request for it, whose rank counts if its turn is earlier. */
  PendingLoad withRequest(LoadRequest request, RankOrder order, MonotonicTime time) {
    boolean earlier = order.turn(request.rank()).compareTo(turn(order, time)) < 0;
    return new PendingLoad(
        adapter,
        requesters.plus(request.endpoint()),
        requestedAt,
        earlier ? request.rank() : rank,
        earlier ? time : rankedAt);
  }

  /** Returns the turn of this load, relative to an instant. */
  Duration turn(RankOrder order, MonotonicTime time) {
    return order.turn(rank.after(time.since(rankedAt)));
  }
}
