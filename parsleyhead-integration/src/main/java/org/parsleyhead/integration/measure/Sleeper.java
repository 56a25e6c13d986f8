package org.parsleyhead.integration.measure;

import java.time.Duration;
import org.parsleyhead.integration.fleet.FleetException;

/** Suspends the current thread. Stateless and thread-safe. */
final class Sleeper {

  private Sleeper() {}

  /**
   * Sleeps for a duration.
   *
   * @throws FleetException if the thread is interrupted
   */
  static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while sleeping", exception);
    }
  }
}
