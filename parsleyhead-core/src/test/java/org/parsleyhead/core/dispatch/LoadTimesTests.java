package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;

/** Guards against requests that are sent before the load of their adapter has ended. */
@DisplayName("Learned load times")
class LoadTimesTests {

  private static final Duration TOLD = Duration.ofMillis(270);
  private static final Duration CONFIGURED = Duration.ofMillis(250);

  private final DispatchFixture host = DispatchFixture.running();

  private static AdapterKey adapter(int number) {
    return new AdapterKey("base", "new-" + number);
  }

  private Duration cold() {
    return host.state().instances().loadTimes().expected(false, CONFIGURED, host.now());
  }

  private List<DispatchEffect> order(int number, Duration readyIn, Duration loadingFor) {
    List<DispatchEffect> effects = host.receive("/chat/x", work(adapter(number)));
    String server = only(effects, DispatchEffect.RequestLoad.class).instance();
    return host.apply(new DispatchEvent.LoadOrdered(server, adapter(number), readyIn, loadingFor));
  }

  private DispatchEffect.Send sendWhenReady(List<DispatchEffect> effects) {
    return only(host.wake(effects), DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("one rejection delays the requests of the next load at once")
  void raisedByOneRejection() {
    DispatchEffect.Send early = sendWhenReady(order(1, TOLD, Duration.ZERO));
    host.advance(Duration.ofMillis(10));
    host.end(early, AttemptOutcome.MISDIRECTED, false);
    Duration delay = only(order(2, TOLD, Duration.ZERO), DispatchEffect.WakeAfter.class).delay();
    assertEquals(Duration.ofMillis(350), delay);
  }

  @Test
  @DisplayName("a load that another host has ordered earlier is expected earlier")
  void countsFromOrder() {
    DispatchEffect.Send early = sendWhenReady(order(1, TOLD, Duration.ZERO));
    host.advance(Duration.ofMillis(10));
    host.end(early, AttemptOutcome.MISDIRECTED, false);
    Duration delay =
        only(
                order(2, Duration.ofMillis(70), Duration.ofMillis(200)),
                DispatchEffect.WakeAfter.class)
            .delay();
    assertEquals(Duration.ofMillis(150), delay);
  }

  @Test
  @DisplayName("several rejections during one load count as one")
  void countsLoadOnce() {
    List<DispatchEffect> first = order(1, TOLD, Duration.ZERO);
    List<DispatchEffect> second = host.receive("/chat/y", work(adapter(1)));
    DispatchEffect.Send one = sendWhenReady(first);
    DispatchEffect.WakeAfter wake = only(second, DispatchEffect.WakeAfter.class);
    DispatchEffect.Send other =
        only(
            host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber())),
            DispatchEffect.Send.class);
    host.end(one, AttemptOutcome.MISDIRECTED, false);
    Duration afterOne = cold();
    host.end(other, AttemptOutcome.MISDIRECTED, false);
    assertEquals(afterOne, cold());
  }

  @Test
  @DisplayName("a rejection after an unload does not raise the estimate")
  void ignoresUnload() {
    DispatchEffect.Send answered = sendWhenReady(order(1, TOLD, Duration.ZERO));
    host.apply(new DispatchEvent.ResponseStarted(answered.request().key(), 1));
    host.end(answered, AttemptOutcome.COMPLETED, true);
    Duration known = cold();
    DispatchEffect.Send unloaded = host.send("/chat/x", work(adapter(1)));
    host.end(unloaded, AttemptOutcome.MISDIRECTED, false);
    assertEquals(known, cold());
  }

  @Test
  @DisplayName("a rejection long after the order does not raise the estimate")
  void ignoresLateRejection() {
    List<DispatchEffect> overdue = order(1, Duration.ofMillis(60), Duration.ofSeconds(4));
    DispatchEffect.Send send = sendWhenReady(overdue);
    host.end(send, AttemptOutcome.MISDIRECTED, false);
    assertEquals(CONFIGURED, cold());
  }

  @Test
  @DisplayName("an adapter that the owner reports as unloaded is not sent to")
  void forgetsUnloaded() {
    List<DispatchEffect> effects = host.receive("/chat/x", work(adapter(1)));
    String server = only(effects, DispatchEffect.RequestLoad.class).instance();
    host.apply(new DispatchEvent.LoadOrdered(server, adapter(1), TOLD));
    host.apply(
        new DispatchEvent.AdaptersReported(
            new AdapterReport(server, 1, 41, Set.of("base"), Map.of(adapter(1), 1L))));
    host.apply(
        new DispatchEvent.AdaptersReported(
            new AdapterReport(server, 1, 42, Set.of("base"), Map.of())));
    host.advance(Duration.ofMillis(600));
    only(host.receive("/chat/y", work(adapter(1))), DispatchEffect.RequestLoad.class);
  }

  @Test
  @DisplayName("cold and warm loads are learned separately, within 20 ms and 5 s")
  void learnsKindsSeparately() {
    MonotonicTime time = host.now();
    Duration warm = Duration.ofMillis(25);
    LoadTimeEstimate raised =
        LoadTimeEstimate.INITIAL.withRejection(false, CONFIGURED, Duration.ofSeconds(60), time);
    assertEquals(Duration.ofSeconds(5), raised.expected(false, CONFIGURED, time));
    assertEquals(warm, raised.expected(true, warm, time));
    LoadTimeEstimate lowered = LoadTimeEstimate.INITIAL;
    for (int response = 0; response < 10_000; response++) {
      lowered = lowered.withFirstResponse(true, warm, time);
    }
    assertEquals(Duration.ofMillis(20), lowered.expected(true, warm, time));
    assertEquals(CONFIGURED, lowered.expected(false, CONFIGURED, time));
  }

  @Test
  @DisplayName("first responses lower the estimate slowly, and a surge is forgotten in seconds")
  void lowersSlowly() {
    MonotonicTime time = host.now();
    LoadTimeEstimate raised =
        LoadTimeEstimate.INITIAL.withRejection(false, CONFIGURED, Duration.ofMillis(320), time);
    LoadTimeEstimate lowered = raised.withFirstResponse(false, CONFIGURED, time);
    assertTrue(lowered.expected(false, CONFIGURED, time).compareTo(Duration.ofMillis(390)) > 0);
    assertTrue(lowered.expected(false, CONFIGURED, time).compareTo(Duration.ofMillis(400)) < 0);
    LoadTimeEstimate surge = raised.withRejection(false, CONFIGURED, Duration.ofSeconds(2), time);
    assertEquals(
        Duration.ofMillis(500 + 1000),
        surge.expected(false, CONFIGURED, time.plus(Duration.ofSeconds(2))));
  }
}
