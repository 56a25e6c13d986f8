package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * The sort key of a waiting request in the order of deadlines; ties are broken by identifier.
 *
 * <p>Immutable and thread-safe.
 *
 * @param deadline when the request is refused
 * @param identifier the request
 */
record DeadlineKey(MonotonicTime deadline, RequestIdentifier identifier)
    implements Comparable<DeadlineKey> {

  static DeadlineKey of(WaitingRequest waiting) {
    return new DeadlineKey(waiting.deadline(), waiting.request().identifier());
  }

  @Override
  public int compareTo(DeadlineKey other) {
    int byDeadline = deadline.compareTo(other.deadline);
    return byDeadline != 0 ? byDeadline : identifier.compareTo(other.identifier);
  }
}
