package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.AdapterReference;

/**
 * The sort key of an adapter in the ready set of an engine: the queue key of its first request that
 * the engine may run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param first the queue key of that request
 * @param adapter the adapter
 */
record ReadyKey(QueueKey first, AdapterReference adapter) implements Comparable<ReadyKey> {

  @Override
  public int compareTo(ReadyKey other) {
    return first.compareTo(other.first);
  }
}
