package org.parsleyhead.core.overload;

import java.time.Duration;

/**
 * Decides when the caller of a refused request should return.
 *
 * <p>Answers the returning wave: callers who are refused together and told the same delay return
 * together, and are refused together again. Implementations are pure.
 */
@FunctionalInterface
public interface RetryAfterPolicy {

  /**
   * Returns the delay to tell the caller.
   *
   * @param expectedDelay when capacity is expected
   * @param requestHash a hash of the request, which spreads the callers
   */
  Duration retryAfter(Duration expectedDelay, long requestHash);
}
