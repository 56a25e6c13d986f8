package org.parsleyhead.core.overload;

import java.time.Duration;

/**
 * Decides whether a request waits at the host until capacity is expected, or is refused at once.
 *
 * <p>Answers the loss of many hosts or servers at once: what becomes available in time is worth
 * waiting for, since a refused caller returns only once and often to the same state; what does not
 * is refused before it costs the caller time. Implementations are pure.
 */
@FunctionalInterface
public interface WaitPolicy {

  /**
   * Returns whether a request waits.
   *
   * @param expectedDelay when the request is expected to be sent
   * @param untilDeadline the time left until its deadline
   */
  boolean waits(Duration expectedDelay, Duration untilDeadline);

  /**
   * Returns the policy that waits for at most a fraction of the time left, the rest of which the
   * server needs for the response.
   */
  static WaitPolicy upToFraction(double fraction) {
    return (expectedDelay, untilDeadline) ->
        expectedDelay.toNanos() <= untilDeadline.toNanos() * fraction;
  }
}
