package org.parsleyhead.core.scheduling;

/**
 * The sort key of a request in the queues: by rank, then by order of arrival.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rank the rank that the policy assigned
 * @param sequence the sequence number of the request on this host
 */
record QueueKey(double rank, long sequence) implements Comparable<QueueKey> {

  @Override
  public int compareTo(QueueKey other) {
    int byRank = Double.compare(rank, other.rank);
    return byRank != 0 ? byRank : Long.compare(sequence, other.sequence);
  }
}
