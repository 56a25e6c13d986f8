package org.parsleyhead.core.publication;

import java.time.Duration;

/**
 * The timing of reads and of updates between hosts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param batchDelay the delay of the next watch after one returned changes, so that a single call
 *     returns several changes; each call has a price
 * @param retryDelay the delay of the next read after a failed one
 * @param readTimeout the timeout of reading a page; the store answers within milliseconds, and
 *     sixty times slower in slow periods
 * @param watchTimeout how long the platform holds a watch open while nothing changes; bounds, with
 *     the answer delay, the time for which a reader can be unaware that it hears nothing
 * @param answerDelay the time after the end of a watch after which its answer is late and another
 *     watch is started beside it
 * @param peerUpdateDelay how long another host may be ahead before an update is requested from it;
 *     longer than the heartbeat interval and the batch delay, so that only a host that is refused
 *     by the platform requests updates
 * @param nonReaderTimeout the time without a newer revision after which a host that leaves reading
 *     to others reads from the platform itself, and the interval of its reads
 * @param silenceReportDelay the time without an answer after which the platform is reported as
 *     silent; servers announce themselves more often than this
 * @param confirmationTime how long an item that a restored store lacks, or shows with other
 *     contents, remains in force after the era of the store increased; operators and servers write
 *     again within it what the restored copy lacks
 */
public record PublicationSettings(
    Duration batchDelay,
    Duration retryDelay,
    Duration readTimeout,
    Duration watchTimeout,
    Duration answerDelay,
    Duration peerUpdateDelay,
    Duration nonReaderTimeout,
    Duration silenceReportDelay,
    Duration confirmationTime) {

  /** The timing of a gateway host. */
  public static final PublicationSettings DEFAULT =
      new PublicationSettings(
          Duration.ofMillis(350),
          Duration.ofMillis(300),
          Duration.ofMillis(1_500),
          Duration.ofMillis(500),
          Duration.ofMillis(300),
          Duration.ofMillis(400),
          Duration.ofMillis(2_500),
          Duration.ofMillis(1_000),
          Duration.ofSeconds(15));
}
