package org.parsleyhead.core.fleet;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * An occupied adapter slot of a model server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version of the adapter; 0 if the server has not reported it
 * @param orderedAt when the load was ordered; for an adapter that the server reported as loaded,
 *     some time before the report
 * @param readyAt when the adapter is expected to be loaded
 * @param usedAt the last known use of the adapter
 */
record AdapterSlot(
    long version, MonotonicTime orderedAt, MonotonicTime readyAt, MonotonicTime usedAt) {

  AdapterSlot withUsedAt(MonotonicTime time) {
    return new AdapterSlot(version, orderedAt, readyAt, time);
  }
}
