package org.parsleyhead.core.publication;

import java.time.Duration;

/**
 * The timing of reads and of updates between hosts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param batchDelay the delay of the next watch after one returned changes, so that a single call
 *     returns several changes
 * @param retryDelay the delay of the next read after a failed one
 * @param readTimeout the timeout of reading a page, and the extra time allowed for the answer to a
 *     watch
 * @param watchTimeout how long the platform holds a watch open while nothing changes
 * @param peerUpdateDelay how long another host may be ahead before an update is requested from it
 * @param nonReaderTimeout the time without a newer revision after which a host that leaves reading
 *     to others reads from the platform itself
 */
public record PublicationSettings(
    Duration batchDelay,
    Duration retryDelay,
    Duration readTimeout,
    Duration watchTimeout,
    Duration peerUpdateDelay,
    Duration nonReaderTimeout) {}
