package org.parsleyhead.core.scheduling;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The waiting requests of one adapter and its placements on engines.
 *
 * <p>Immutable and thread-safe. Kept only while requests wait or run, or a pin is held or
 * requested.
 *
 * @param queue the waiting requests in the order of service
 * @param placements the engines with a pin, a pin request or running requests
 * @param waitingSince the arrival of the request that last made the queue non-empty
 * @param loadClaim the claim of the load that its requests wait for, if any
 */
record AdapterView(
    TreePMap<QueueKey, WaitingRequest> queue,
    PMap<UpstreamName, Placement> placements,
    MonotonicTime waitingSince,
    Optional<LoadShares.Claim> loadClaim) {

  /** The maximum number of requests that are scanned for one that does not exclude the engine. */
  private static final int MAXIMUM_SCANNED_REQUESTS = 8;

  static AdapterView empty(MonotonicTime time) {
    return new AdapterView(TreePMap.empty(), HashTreePMap.empty(), time, Optional.empty());
  }

  AdapterView enqueue(WaitingRequest waiting) {
    MonotonicTime since = queue.isEmpty() ? waiting.submittedAt() : waitingSince;
    return new AdapterView(queue.plus(waiting.key(), waiting), placements, since, loadClaim);
  }

  AdapterView dequeue(QueueKey key) {
    return new AdapterView(queue.minus(key), placements, waitingSince, loadClaim);
  }

  AdapterView with(UpstreamName engine, Placement placement) {
    return new AdapterView(queue, placements.plus(engine, placement), waitingSince, loadClaim);
  }

  AdapterView withLoadClaim(Optional<LoadShares.Claim> next) {
    return new AdapterView(queue, placements, waitingSince, next);
  }

  /** Returns whether the adapter is pinned on any engine, so that no load is needed. */
  boolean isPinnedAnywhere(MonotonicTime time) {
    return placements.values().stream().anyMatch(placement -> placement.isPinned(time));
  }

  AdapterView without(UpstreamName engine) {
    return new AdapterView(queue, placements.minus(engine), waitingSince, loadClaim);
  }

  Placement placement(UpstreamName engine, MonotonicTime time) {
    Placement known = placements.get(engine);
    return known == null ? Placement.none(time) : known;
  }

  /** Returns the first scanned request that does not exclude an engine. */
  Optional<WaitingRequest> firstFor(UpstreamName engine) {
    return queue.values().stream()
        .limit(MAXIMUM_SCANNED_REQUESTS)
        .filter(waiting -> !waiting.request().excluded().contains(engine))
        .findFirst();
  }

  boolean isRemovable() {
    return queue.isEmpty() && placements.isEmpty();
  }
}
