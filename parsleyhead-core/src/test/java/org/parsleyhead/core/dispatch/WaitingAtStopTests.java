package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.instance.AdapterKey;

/** Guards against requests that no server has got and that end with the process, unanswered. */
@DisplayName("A request that was taken before a stop and still waits for a load at its end")
class WaitingAtStopTests {

  private static final AdapterKey UNLOADED = new AdapterKey("base", "unloaded");
  private static final Duration BEYOND_THE_GRACE = Duration.ofSeconds(20);

  private final DispatchFixture host = DispatchFixture.running();

  @Test
  @DisplayName("is refused as not run")
  void isRefused() {
    only(
        host.receive("/chat/x", work(UNLOADED), BEYOND_THE_GRACE, key -> {}),
        DispatchEffect.RequestLoad.class);
    host.apply(
        new DispatchEvent.Stopping(
            StopPlan.rejectEndingAfter(host.now().plus(Duration.ofSeconds(6)))));
    List<DispatchEffect> effects = host.apply(new DispatchEvent.Stopping(StopPlan.REJECT_ALL));
    assertEquals(
        DispatchRefusal.Code.STOPPING, only(effects, DispatchEffect.Refuse.class).refusal().code());
    assertEquals(0, host.state().activeRequests());
  }
}
