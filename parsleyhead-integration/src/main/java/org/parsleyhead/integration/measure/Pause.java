package org.parsleyhead.integration.measure;

import java.time.Duration;
import org.parsleyhead.integration.fleet.FleetException;

/** Sleeps. Stateless and thread-safe. */
final class Pause {

  private Pause() {}

  /** Sleeps for a time. */
  static void of(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }
}
