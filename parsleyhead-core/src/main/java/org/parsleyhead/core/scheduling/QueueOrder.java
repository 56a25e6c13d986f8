package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.ticket.Priority;

/** Gives a request its rank in the queues; lower ranks go first. Implementations are pure. */
@FunctionalInterface
public interface QueueOrder {

  /**
   * Returns the rank.
   *
   * @param startTag where the request begins in virtual time, in seconds of its account's rate
   * @param priority its class
   * @param sequence its number in the order of arrival
   */
  double rank(double startTag, Priority priority, long sequence);
}
