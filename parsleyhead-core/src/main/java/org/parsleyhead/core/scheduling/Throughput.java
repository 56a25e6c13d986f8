package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The service that this host gets from the engines while requests wait for room.
 *
 * <p>Immutable and thread-safe. Time without such requests does not count, since it tells nothing
 * of how much the engines could serve.
 *
 * @param tokens the served tokens, older ones weighing less
 * @param seconds the time that they took, weighed alike
 * @param observed when this was last brought up to date
 */
record Throughput(double tokens, double seconds, MonotonicTime observed) {

  private static final double HALF_LIFE_SECONDS = 10;
  private static final double SMALLEST_SECONDS = 3;

  static Throughput unknown(MonotonicTime time) {
    return new Throughput(0, 0, time);
  }

  /** Returns the throughput after time has passed, with or without requests waiting for room. */
  Throughput advance(boolean saturated, MonotonicTime time) {
    Duration elapsed = time.since(observed);
    if (!saturated || elapsed.isNegative()) {
      return new Throughput(tokens, seconds, time);
    }
    double passed = elapsed.toNanos() / 1e9;
    double decay = Math.pow(0.5, passed / HALF_LIFE_SECONDS);
    return new Throughput(tokens * decay, seconds * decay + passed, time);
  }

  /** Returns the throughput after a request ended while others waited for room. */
  Throughput served(double cost) {
    return new Throughput(tokens + cost, seconds, observed);
  }

  /** Returns the tokens per second; empty if too little was observed. */
  OptionalDouble tokensPerSecond() {
    return seconds < SMALLEST_SECONDS || tokens <= 0
        ? OptionalDouble.empty()
        : OptionalDouble.of(tokens / seconds);
  }
}
