package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;

/**
 * A dispatched request that has not ended.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param upstream the engine that it was dispatched to
 * @param dispatchedAt when it was dispatched
 */
record RunningRequest(ModelRequest request, UpstreamName upstream, MonotonicTime dispatchedAt) {}
