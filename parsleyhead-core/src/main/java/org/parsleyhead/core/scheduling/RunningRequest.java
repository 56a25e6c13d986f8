package org.parsleyhead.core.scheduling;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;

/**
 * A request that was dispatched.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param upstream where it was sent
 * @param dispatched when
 */
record RunningRequest(ModelRequest request, UpstreamName upstream, MonotonicTime dispatched) {}
