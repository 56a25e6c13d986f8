package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.AdapterKey;

/** Guards against waits that outlast the deadline by which a stopping host ends a request. */
@DisplayName("A request that waits for a load")
class LateWakeTests {

  private static final AdapterKey UNLOADED = new AdapterKey("base", "unloaded");
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration SLOW_LOAD = Duration.ofSeconds(5);

  private final DispatchFixture host = DispatchFixture.running();

  @Test
  @DisplayName("is looked at again by its deadline, however long the load takes")
  void wakesByDeadline() {
    DispatchEffect.RequestLoad asked =
        only(
            host.receive("/chat/x", work(UNLOADED), TIMEOUT, key -> {}),
            DispatchEffect.RequestLoad.class);
    List<DispatchEffect> effects =
        host.apply(new DispatchEvent.LoadOrdered(asked.instance(), UNLOADED, SLOW_LOAD));
    Duration delay = only(effects, DispatchEffect.WakeAfter.class).delay();
    assertTrue(delay.compareTo(TIMEOUT) <= 0, () -> "after " + delay);
  }
}
