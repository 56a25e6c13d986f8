package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RequestIdentifier;

/**
 * A waiting request in the order of the deadlines.
 *
 * <p>Immutable and thread-safe.
 *
 * @param deadline when it is refused
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
