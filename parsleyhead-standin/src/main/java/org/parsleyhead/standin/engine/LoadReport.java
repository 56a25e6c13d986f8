package org.parsleyhead.standin.engine;

import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A sample of the load of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param time the time of the sample
 * @param running the number of requests in the batch
 * @param waiting the number of queued requests
 * @param cacheUsage the used fraction of the KV cache
 * @param runningAdapters the adapters in the batch, sorted
 * @param waitingAdapters the adapters that only queued requests use, sorted
 */
record LoadReport(
    MonotonicTime time,
    int running,
    int waiting,
    double cacheUsage,
    List<String> runningAdapters,
    List<String> waitingAdapters) {}
