package org.parsleyhead.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

@DisplayName("A weight store")
class WeightStoreCoreTests {

  private final WeightStoreCore core =
      new WeightStoreCore(new WeightStoreSettings(4, 16, Duration.ofMillis(250), 8));
  private WeightStoreCore.State state = core.initial(MonotonicTime.ORIGIN);
  private MonotonicTime now = MonotonicTime.ORIGIN;

  @Test
  @DisplayName("slows new transfers down in proportion to the transfers in flight")
  void slowsDown() {
    for (int fetch = 0; fetch < 8; fetch++) {
      assertEquals(Duration.ofMillis(250), transfer());
    }
    for (int fetch = 8; fetch < 15; fetch++) {
      transfer();
    }
    assertEquals(Duration.ofMillis(500), transfer());
  }

  @Test
  @DisplayName("refuses transfers above its rate limit and reports when to retry")
  void limitsRate() {
    for (int fetch = 0; fetch < 16; fetch++) {
      transfer();
    }
    WeightStoreCore.RefuseRateLimited refusal =
        assertInstanceOf(WeightStoreCore.RefuseRateLimited.class, fetch());
    assertEquals(Duration.ofMillis(250), refusal.retryAfter());
    now = now.plus(refusal.retryAfter());
    assertInstanceOf(WeightStoreCore.StartTransfer.class, fetch());
  }

  private Duration transfer() {
    return assertInstanceOf(WeightStoreCore.StartTransfer.class, fetch()).duration();
  }

  private WeightStoreCore.Effect fetch() {
    Step<WeightStoreCore.State, WeightStoreCore.Effect> step =
        core.apply(state, new WeightStoreCore.FetchRequested(1), now);
    state = step.state();
    return step.effects().get(0);
  }
}
