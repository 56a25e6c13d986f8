package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;

@DisplayName("A stream that has started and whose server is lost")
class StreamResumptionTests {

  private static final Duration DEADLINE = Duration.ofSeconds(5);

  private final DispatchFixture host = DispatchFixture.running();
  private final MonotonicTime start = host.now();

  private DispatchEffect.Send started(String path) {
    DispatchEffect.Send send = host.send(path, work(ADAPTER));
    host.apply(new DispatchEvent.ResponseStarted(send.request().key(), send.attempt()));
    return send;
  }

  private List<DispatchEffect> breakOff(DispatchEffect.Send send) {
    return host.end(send, AttemptOutcome.BROKEN, true);
  }

  private static boolean contains(List<DispatchEffect> effects, Class<?> type) {
    return effects.stream().anyMatch(type::isInstance);
  }

  /** Plays wake events until an effect of a type appears. */
  private List<DispatchEffect> wakeUntil(List<DispatchEffect> effects, Class<?> type) {
    List<DispatchEffect> next = effects;
    while (!contains(next, type)) {
      assertFalse(contains(next, DispatchEffect.Abort.class), () -> "aborted at " + elapsed());
      next = host.wake(next);
    }
    return next;
  }

  private Duration elapsed() {
    return host.now().since(start);
  }

  @Nested
  @DisplayName("waits, and is not broken off,")
  class Waits {

    @Test
    @DisplayName("while the retry budget is spent")
    void withoutBudget() {
      DispatchEffect.Send send = started("/chat/x");
      host.exhaustBudget("engine");
      List<DispatchEffect> effects = breakOff(send);
      DispatchEffect.ResumptionDelayed delayed =
          only(effects, DispatchEffect.ResumptionDelayed.class);
      assertEquals(DispatchRefusal.Code.NO_ROOM, delayed.code());
      assertEquals(DEADLINE, delayed.timeLeft());
      DispatchEffect.Send second =
          only(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class);
      assertNotEquals(send.instance(), second.instance());
      assertTrue(elapsed().compareTo(Duration.ofMillis(400)) > 0, () -> "after " + elapsed());
    }

    @Test
    @DisplayName("if its server is the only one, and resumes there")
    void withSingleServer() {
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      DispatchEffect.Send send = started("/chat/x");
      DispatchEffect.Send second =
          only(wakeUntil(breakOff(send), DispatchEffect.Send.class), DispatchEffect.Send.class);
      assertEquals(send.instance(), second.instance());
    }

    @ParameterizedTest
    @EnumSource(
        value = AttemptOutcome.class,
        names = {"NO_ROOM", "NOT_SENT"})
    @DisplayName("while all servers reject it, however often")
    void whileServersReject(AttemptOutcome rejection) {
      List<DispatchEffect> effects = breakOff(started("/chat/x"));
      for (int sends = 2; sends <= 6; sends++) {
        DispatchEffect.Send send =
            only(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class);
        effects = host.end(send, rejection, true);
      }
      assertTrue(
          contains(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class));
    }

    @Test
    @DisplayName("although its former attempt is reported late as having begun to answer")
    void afterLateStart() {
      DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
      host.exhaustBudget("engine");
      List<DispatchEffect> effects = breakOff(send);
      host.apply(new DispatchEvent.ResponseStarted(send.request().key(), send.attempt()));
      assertTrue(
          contains(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class));
    }

    @Test
    @DisplayName("while all servers are gone, until another one is announced")
    void withoutServers() {
      DispatchEffect.Send send = started("/chat/x");
      host.apply(new DispatchEvent.InstanceRemoved("e1"));
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      List<DispatchEffect> effects = host.wake(breakOff(send));
      host.announce(DispatchFixture.engine("e3"));
      assertEquals(
          "e3",
          only(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class)
              .instance()
              .identifier());
    }

    @Test
    @DisplayName("while the only other server cannot load the adapter")
    void withoutAdapter() {
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      DispatchEffect.Send send = started("/chat/x");
      host.announce(
          DispatchFixture.instance("e3", "engine", false, 1, Map.of()),
          DispatchFixture.instance("e1", "engine", true, 2, Map.of(ADAPTER, 1L)));
      host.advance(Duration.ofSeconds(1));
      List<DispatchEffect> effects = breakOff(send);
      host.advance(Duration.ofMillis(500));
      effects = host.wake(effects);
      assertFalse(contains(effects, DispatchEffect.Abort.class));
      host.announce(DispatchFixture.engine("e4"));
      only(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class);
    }

    /** Guards against 105 asks for loads in 5 s by one waiting stream. */
    @Test
    @DisplayName("while owners refuse the load, and asks for it again only after the load timeout")
    void whileLoadsAreRefused() {
      DispatchEffect.Send send = started("/chat/x");
      host.announce(
          DispatchFixture.instance("e1", "engine", false, 2, Map.of()),
          DispatchFixture.instance("e2", "engine", false, 2, Map.of()));
      List<DispatchEffect> effects = breakOff(send);
      List<MonotonicTime> asks = new ArrayList<>();
      while (!contains(effects, DispatchEffect.Abort.class)) {
        if (contains(effects, DispatchEffect.RequestLoad.class)) {
          asks.add(host.now());
          DispatchEffect.RequestLoad load = only(effects, DispatchEffect.RequestLoad.class);
          effects =
              host.apply(new DispatchEvent.LoadRefused(load.instance(), load.adapter(), "no_slot"));
        } else {
          effects = host.wake(effects);
        }
      }
      assertEquals(DEADLINE, elapsed());
      int inRow = 3;
      assertTrue(asks.size() > inRow, () -> "asked at " + asks);
      for (int ask = inRow; ask < asks.size(); ask++) {
        Duration between = asks.get(ask).since(asks.get(ask - 1));
        assertFalse(between.compareTo(Duration.ofMillis(300)) < 0, () -> "asked at " + asks);
      }
    }

    @Test
    @DisplayName("if the second server has no room either")
    void withoutRoom() {
      DispatchEffect.Send send = started("/chat/x");
      DispatchEffect.Send second = only(breakOff(send), DispatchEffect.Send.class);
      List<DispatchEffect> effects = host.end(second, AttemptOutcome.NO_ROOM, true);
      assertFalse(contains(effects, DispatchEffect.Abort.class));
      only(wakeUntil(effects, DispatchEffect.Send.class), DispatchEffect.Send.class);
    }
  }

  @Nested
  @DisplayName("is broken off")
  class IsBrokenOff {

    @Test
    @DisplayName("at its deadline if no server can resume it")
    void atDeadline() {
      DispatchEffect.Send send = started("/chat/x");
      host.apply(new DispatchEvent.InstanceRemoved("e1"));
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      List<DispatchEffect> effects = breakOff(send);
      while (!contains(effects, DispatchEffect.Abort.class)) {
        effects = host.wake(effects);
      }
      assertEquals(DEADLINE, elapsed());
      assertEquals(0, host.state().activeRequests());
    }

    @Test
    @DisplayName("at once if it may not run again")
    void withoutFurtherRun() {
      DispatchEffect.Send second = only(breakOff(started("/chat/x")), DispatchEffect.Send.class);
      only(breakOff(second), DispatchEffect.Abort.class);
      only(breakOff(started("/audit/x")), DispatchEffect.Abort.class);
    }

    @Test
    @DisplayName("at its deadline, and not before, if its service is removed")
    void withoutService() {
      DispatchEffect.Send send = started("/chat/x");
      host.apply(
          new DispatchEvent.CatalogueChanged(
              new ServiceCatalogue(2, List.of(), List.of(), RequestLimits.INITIAL, List.of())));
      List<DispatchEffect> effects = breakOff(send);
      while (!contains(effects, DispatchEffect.Abort.class)) {
        assertFalse(contains(effects, DispatchEffect.Send.class));
        effects = host.wake(effects);
      }
      assertEquals(DEADLINE, elapsed());
      assertEquals(0, host.state().activeRequests());
    }

    @Test
    @DisplayName("and forgotten if its caller leaves while it waits")
    void withoutCaller() {
      DispatchEffect.Send send = started("/chat/x");
      host.exhaustBudget("engine");
      List<DispatchEffect> effects = breakOff(send);
      host.apply(new DispatchEvent.CallerDisconnected(send.request().key()));
      assertEquals(0, host.state().activeRequests());
      assertEquals(List.of(), host.wake(effects));
    }
  }
}
