package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.AdapterReference;

/**
 * An adapter with a waiting request that an engine could run at once, in the order of its first
 * such request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param first the place of that request
 * @param adapter the adapter
 */
record ReadyKey(QueueKey first, AdapterReference adapter) implements Comparable<ReadyKey> {

  @Override
  public int compareTo(ReadyKey other) {
    return first.compareTo(other.first);
  }
}
