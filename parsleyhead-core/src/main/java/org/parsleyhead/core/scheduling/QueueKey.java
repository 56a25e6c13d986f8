package org.parsleyhead.core.scheduling;

/**
 * The place of a request in the queues: the lower rank first, then the order of arrival.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rank the rank that the policy gave it
 * @param sequence its number in the order of arrival on this host
 */
record QueueKey(double rank, long sequence) implements Comparable<QueueKey> {

  @Override
  public int compareTo(QueueKey other) {
    int byRank = Double.compare(rank, other.rank);
    return byRank != 0 ? byRank : Long.compare(sequence, other.sequence);
  }
}
