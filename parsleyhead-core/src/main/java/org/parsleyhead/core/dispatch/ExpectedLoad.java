package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * A load that was ordered and of which no response has shown that it has completed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param orderedAt when the load was ordered, as far as this host knows
 * @param ownerReadyAt when the owner expects the adapter to be ready
 * @param warm whether the server held the adapter recently
 * @param reported whether a report of the owner has listed the adapter since
 */
record ExpectedLoad(
    MonotonicTime orderedAt, MonotonicTime ownerReadyAt, boolean warm, boolean reported) {

  /**
   * Time after an order during which owners do not unload the adapter, so that a rejection shows
   * that the load still lasts.
   */
  private static final Duration MINIMUM_RETENTION = Duration.ofMillis(700);

  /** Returns when the adapter is ready by the owner's expectation and the learned load time. */
  MonotonicTime readyAt(Duration learned) {
    MonotonicTime learnedReadyAt = orderedAt.plus(learned);
    return learnedReadyAt.isBefore(ownerReadyAt) ? ownerReadyAt : learnedReadyAt;
  }

  /**
   * Returns whether a rejection shows that the load has not completed. A rejection long after the
   * order is more likely caused by an unload or a restart of the server.
   *
   * @param learned the expected duration of the load
   * @param time when the rejection was received
   */
  boolean lateAt(Duration learned, MonotonicTime time) {
    Duration elapsed = time.since(orderedAt);
    return elapsed.compareTo(MINIMUM_RETENTION) <= 0
        || elapsed.compareTo(learned.multipliedBy(2)) <= 0;
  }

  ExpectedLoad withOwnerReadyAt(MonotonicTime instant) {
    return new ExpectedLoad(orderedAt, instant, warm, reported);
  }

  ExpectedLoad asReported() {
    return reported ? this : new ExpectedLoad(orderedAt, ownerReadyAt, warm, true);
  }
}
