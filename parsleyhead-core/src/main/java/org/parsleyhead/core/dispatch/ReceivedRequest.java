package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * A request with the instant at which it was received.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param receivedAt when it was received
 */
record ReceivedRequest(ServingRequest request, MonotonicTime receivedAt) {}
