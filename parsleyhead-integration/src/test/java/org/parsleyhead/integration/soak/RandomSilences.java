package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.Random;
import java.util.function.Supplier;
import org.parsleyhead.platform.standin.ServerStandin;
import org.parsleyhead.platform.standin.SilencePlan;

/**
 * The silences of servers that stay sound: some requests meet one, at any point of the answer.
 *
 * <p>Thread-safe.
 */
final class RandomSilences implements Supplier<SilencePlan> {

  private static final int MINIMUM_MILLISECONDS = 300;
  private static final int MAXIMUM_MILLISECONDS = 2_000;
  private static final int REQUESTS_PER_SILENCE = 5;

  private final Random random;

  RandomSilences(long seed) {
    this.random = new Random(seed);
  }

  /** Returns the duration of a silence. */
  synchronized Duration duration() {
    return Duration.ofMillis(
        MINIMUM_MILLISECONDS + random.nextInt(MAXIMUM_MILLISECONDS - MINIMUM_MILLISECONDS));
  }

  @Override
  public synchronized SilencePlan get() {
    if (random.nextInt(REQUESTS_PER_SILENCE) > 0) {
      return SilencePlan.NONE;
    }
    int event = 1 + random.nextInt(ServerStandin.EVENTS_PER_STREAM);
    return switch (random.nextInt(4)) {
      case 0 -> SilencePlan.beforeHead(duration());
      case 1 -> SilencePlan.afterHead(duration());
      case 2 -> SilencePlan.beforeEvent(event, duration());
      default -> SilencePlan.withinEvent(random.nextBoolean() ? 1 : event, duration());
    };
  }
}
