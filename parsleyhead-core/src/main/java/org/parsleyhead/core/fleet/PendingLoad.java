package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
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
 */
record PendingLoad(AdapterKey adapter, PSet<String> requesters, MonotonicTime requestedAt) {

  static PendingLoad of(AdapterKey adapter, String requester, MonotonicTime time) {
    return new PendingLoad(adapter, HashTreePSet.singleton(requester), time);
  }

  PendingLoad withRequester(String requester) {
    return new PendingLoad(adapter, requesters.plus(requester), requestedAt);
  }
}
