package org.parsleyhead.core.fleet;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The heartbeats that this host sent under one number.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sentAt when they were sent
 * @param claims the instances for which they requested a vote
 */
record SentHeartbeats(MonotonicTime sentAt, List<String> claims) {}
