package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The requests that this host has sent for one adapter, of which older ones count less.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requests the decayed number of requests
 * @param tokens their decayed prompt tokens without cached ones
 * @param updatedAt when the last request was sent
 */
record AdapterDemand(double requests, double tokens, MonotonicTime updatedAt) {

  static final AdapterDemand NONE = new AdapterDemand(0, 0, MonotonicTime.ORIGIN);

  /** Shorter than the time for which demand stays with an adapter, which is several seconds. */
  private static final Duration MEAN_LIFETIME = Duration.ofSeconds(2);

  /** Returns this demand after a request was sent. */
  AdapterDemand withRequest(long uncachedTokens, MonotonicTime time) {
    double remaining = remaining(time);
    return new AdapterDemand(requests * remaining + 1, tokens * remaining + uncachedTokens, time);
  }

  /**
   * Returns the prompt tokens that each host is expected to send for the adapter per millisecond.
   * One request does not count, since it is also seen of an adapter that no other host requests.
   */
  double tokensPerMillisecond(MonotonicTime time) {
    double current = requests * remaining(time);
    return current <= 1
        ? 0
        : tokens * remaining(time) * (current - 1) / current / MEAN_LIFETIME.toMillis();
  }

  private double remaining(MonotonicTime time) {
    double elapsed = Math.max(0, time.since(updatedAt).toNanos());
    return requests == 0 ? 0 : Math.exp(-elapsed / MEAN_LIFETIME.toNanos());
  }
}
