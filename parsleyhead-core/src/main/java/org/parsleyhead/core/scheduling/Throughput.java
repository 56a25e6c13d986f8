package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The rate at which the engines serve this host while requests wait for room.
 *
 * <p>Immutable and thread-safe. Time without such requests is not counted, because it does not show
 * how much the engines could serve.
 *
 * @param tokens the served tokens, with exponential decay
 * @param seconds the time in which they were served, with the same decay
 * @param updatedAt when the throughput was last advanced
 */
record Throughput(double tokens, double seconds, MonotonicTime updatedAt) {

  private static final double HALF_LIFE_SECONDS = 10;
  private static final double MINIMUM_OBSERVED_SECONDS = 3;

  static Throughput unknown(MonotonicTime time) {
    return new Throughput(0, 0, time);
  }

  /**
   * Returns the throughput advanced to a time; {@code saturated} states whether requests waited for
   * room.
   */
  Throughput advance(boolean saturated, MonotonicTime time) {
    Duration elapsed = time.since(updatedAt);
    if (!saturated || elapsed.isNegative()) {
      return new Throughput(tokens, seconds, time);
    }
    double elapsedSeconds = elapsed.toNanos() / 1e9;
    double decay = Math.pow(0.5, elapsedSeconds / HALF_LIFE_SECONDS);
    return new Throughput(tokens * decay, seconds * decay + elapsedSeconds, time);
  }

  /** Returns the throughput after a request was completed while others waited for room. */
  Throughput served(double cost) {
    return new Throughput(tokens + cost, seconds, updatedAt);
  }

  /**
   * Returns the tokens per second; empty if the observed time is too short or no tokens were
   * served.
   */
  OptionalDouble tokensPerSecond() {
    return seconds < MINIMUM_OBSERVED_SECONDS || tokens <= 0
        ? OptionalDouble.empty()
        : OptionalDouble.of(tokens / seconds);
  }
}
