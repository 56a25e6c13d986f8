package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * A request that is queued for dispatch.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param key its sort key in the queues
 * @param startTag its start tag in virtual time
 * @param submittedAt when it was submitted
 */
record WaitingRequest(
    ModelRequest request, QueueKey key, double startTag, MonotonicTime submittedAt) {

  /** Returns when the request is refused if it is still waiting. */
  MonotonicTime deadline() {
    return submittedAt.plus(request.startWithin());
  }
}
