package org.parsleyhead.standin.engine;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The load of an engine at one time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param time when it was taken
 * @param running how many requests were in the batch
 * @param waiting how many requests waited
 * @param cacheUsage the used fraction of the KV cache
 * @param runningAdapters the adapters in the batch, in order
 * @param waitingAdapters the adapters that only waiting requests use, in order
 */
record LoadReport(
    MonotonicTime time,
    int running,
    int waiting,
    double cacheUsage,
    List<String> runningAdapters,
    List<String> waitingAdapters) {}
