package org.parsleyhead.core.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Rendezvous;

@DisplayName("The spread of returning callers")
class SpreadRetryAfterTests {

  private static final int CALLERS = 1_000;
  private static final int PERIODS = 10;
  private static final Duration EXPECTED = Duration.ofSeconds(1);

  @Test
  @DisplayName("tells nobody to return before capacity is expected, and no period too many")
  void spreadsCallers() {
    int[] returns = new int[PERIODS];
    for (int caller = 0; caller < CALLERS; caller++) {
      Duration delay =
          new SpreadRetryAfter().retryAfter(EXPECTED, Rendezvous.hash("caller-" + caller));
      assertTrue(delay.compareTo(EXPECTED) >= 0);
      returns[(int) (delay.minus(EXPECTED).toNanos() * PERIODS / (EXPECTED.toNanos() / 2))]++;
    }
    for (int period : returns) {
      assertTrue(period < 2 * CALLERS / PERIODS, period + " of " + CALLERS);
    }
  }
}
