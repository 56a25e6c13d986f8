package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.ticket.Priority;

/**
 * Assigns a request its rank in the queues; lower ranks are served first. Implementations are pure.
 */
@FunctionalInterface
public interface QueueOrder {

  /**
   * Returns the rank of a request.
   *
   * @param startTag the start tag of the request in virtual time, in seconds of its account's rate
   * @param priority the priority of the request
   * @param sequence the sequence number of the request, in the order of arrival
   */
  double rank(double startTag, Priority priority, long sequence);
}
