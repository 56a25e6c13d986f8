package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * A request that waits for its dispatch.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param key its place in the queues
 * @param startTag when its share of service begins, in virtual time
 * @param arrived when it was submitted
 */
record WaitingRequest(ModelRequest request, QueueKey key, double startTag, MonotonicTime arrived) {

  /** Returns when it is refused if it still waits. */
  MonotonicTime deadline() {
    return arrived.plus(request.startWithin());
  }
}
