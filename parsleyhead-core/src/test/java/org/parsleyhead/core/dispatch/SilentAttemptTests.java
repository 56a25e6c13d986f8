package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("An attempt at a silent server")
class SilentAttemptTests {

  private final DispatchFixture host = DispatchFixture.running();
  private DispatchEffect.Send first;
  private List<DispatchEffect> checked;

  @BeforeEach
  void checkForSilence() {
    List<DispatchEffect> sent = host.receive("/chat/x", work(ADAPTER));
    first = only(sent, DispatchEffect.Send.class);
    DispatchEffect.WakeAfter check = only(sent, DispatchEffect.WakeAfter.class);
    host.advance(check.delay());
    checked = host.apply(new DispatchEvent.Wake(check.requestKey(), check.wakeNumber()));
  }

  private boolean sends(List<DispatchEffect> effects) {
    return effects.stream().anyMatch(DispatchEffect.Send.class::isInstance);
  }

  @Test
  @DisplayName("is not replaced before its connection is known to be closed")
  void isWithdrawnFirst() {
    DispatchEffect.WithdrawAttempt withdraw = only(checked, DispatchEffect.WithdrawAttempt.class);
    assertEquals(1, withdraw.attempt());
    assertTrue(!withdraw.answering() && !sends(checked));
    DispatchEffect.Send second =
        only(host.end(first, AttemptOutcome.WITHDRAWN, false), DispatchEffect.Send.class);
    assertEquals(2, second.attempt());
    assertNotEquals(first.instance(), second.instance());
    assertEquals(Set.of(second.instance().identifier()), host.state().sentLoads().keySet());
  }

  @Test
  @DisplayName("keeps the retry that it was withdrawn for, and another one stays with its server")
  void reservesRetry() {
    host.end(first, AttemptOutcome.WITHDRAWN, false);
    DispatchEffect.Send one = started();
    DispatchEffect.Send other = started();
    host.leaveOneRetry("engine");
    only(host.apply(silent(one)), DispatchEffect.WithdrawAttempt.class);
    assertEquals(List.of(), host.apply(silent(other)));
    only(host.end(one, AttemptOutcome.WITHDRAWN, true), DispatchEffect.Send.class);
    assertEquals(List.of(), host.apply(silent(other)));
  }

  @Test
  @DisplayName("returns the retry if it goes on")
  void returnsRetry() {
    host.end(first, AttemptOutcome.WITHDRAWN, false);
    DispatchEffect.Send one = started();
    final DispatchEffect.Send other = started();
    host.leaveOneRetry("engine");
    only(host.apply(silent(one)), DispatchEffect.WithdrawAttempt.class);
    host.apply(new DispatchEvent.AttemptKept(one.request().key(), 1));
    only(host.apply(silent(other)), DispatchEffect.WithdrawAttempt.class);
    host.end(other, AttemptOutcome.COMPLETED, true);
    only(host.apply(silent(one)), DispatchEffect.WithdrawAttempt.class);
  }

  /** Guards against a 502 at once although the caller had time left. */
  @Nested
  @DisplayName("that is withdrawn while the other server goes away")
  class WithoutOtherServer {

    private List<DispatchEffect> withdrawn;

    @BeforeEach
    void withdraw() {
      String silent = first.instance().identifier();
      String other = silent.equals("e1") ? "e2" : "e1";
      host.announce(DispatchFixture.instance(other, "engine", true, 2, Map.of(ADAPTER, 1L)));
      withdrawn = host.end(first, AttemptOutcome.WITHDRAWN, false);
    }

    @Test
    @DisplayName("waits, and is sent to the next server that comes")
    void waits() {
      host.announce(DispatchFixture.engine("e3"));
      assertEquals(
          "e3", only(host.wake(withdrawn), DispatchEffect.Send.class).instance().identifier());
    }

    @Test
    @DisplayName("is sent to the silent one again, which may have recovered, if no other one comes")
    void isSentToSilentOne() {
      DispatchEffect.Send second = only(host.wake(withdrawn), DispatchEffect.Send.class);
      assertEquals(first.instance().identifier(), second.instance().identifier());
      assertEquals(2, second.attempt());
    }

    @Test
    @DisplayName("is refused while its caller has time to repeat it, if all servers are gone")
    void isRefused() {
      final MonotonicTime withdrawnAt = host.now();
      host.apply(new DispatchEvent.InstanceRemoved(first.instance().identifier()));
      host.advance(Duration.ofMillis(1_600));
      List<DispatchEffect> effects = withdrawn;
      while (host.state().activeRequests() > 0) {
        effects = host.wake(effects);
      }
      assertEquals(
          DispatchRefusal.Code.UPSTREAM_FAILED,
          only(effects, DispatchEffect.Refuse.class).refusal().code());
      Duration waited = host.now().since(withdrawnAt);
      assertTrue(waited.compareTo(Duration.ofSeconds(2)) > 0, waited::toString);
      assertTrue(waited.compareTo(Duration.ofSeconds(3)) < 0, waited::toString);
    }
  }

  private boolean retryIsLeft() {
    return host.state().budgets().get("engine").allows();
  }

  /** Guards against retries that were reserved, never made, and lost. */
  @Nested
  @DisplayName("that ends before its next one returns the reserved retry")
  class ReturnsReservedRetry {

    @BeforeEach
    void spendOthers() {
      host.exhaustBudget("engine");
      assertFalse(retryIsLeft());
    }

    @Test
    @DisplayName("if its caller leaves")
    void callerLeaves() {
      host.apply(new DispatchEvent.CallerDisconnected(first.request().key()));
      assertTrue(retryIsLeft());
    }

    @Test
    @DisplayName("if its caller leaves while the request waits for a server")
    void callerLeavesWhileItWaits() {
      host.announce(
          DispatchFixture.instance("e1", "engine", false, 2, Map.of()),
          DispatchFixture.instance("e2", "engine", false, 2, Map.of()));
      host.end(first, AttemptOutcome.WITHDRAWN, false);
      assertFalse(retryIsLeft());
      host.apply(new DispatchEvent.CallerDisconnected(first.request().key()));
      assertTrue(retryIsLeft());
    }

    @Test
    @DisplayName("at its deadline")
    void deadline() {
      List<DispatchEffect> effects = checked;
      do {
        DispatchEvent.Wake wake = host.awaitWake(effects);
        host.exhaustBudget("engine");
        effects = host.apply(wake);
      } while (host.state().activeRequests() > 0);
      assertTrue(retryIsLeft());
    }

    @Test
    @DisplayName("if its end fails to be handled")
    void failure() {
      host.fail(
          new DispatchEvent.AttemptEnded(
              first.request().key(),
              1,
              new AttemptResult(AttemptOutcome.BROKEN, 0, false, false, Optional.empty(), "test")));
      assertEquals(0, host.state().activeRequests());
      assertTrue(retryIsLeft());
    }

    @Test
    @DisplayName("once, if it completes although that fails to be handled")
    void completion() {
      host.fail(
          new DispatchEvent.AttemptEnded(
              first.request().key(),
              1,
              new AttemptResult(
                  AttemptOutcome.COMPLETED, 200, true, false, Optional.empty(), "test")));
      assertTrue(retryIsLeft());
      assertEquals(1, host.state().budgets().get("engine").level());
    }
  }

  private DispatchEffect.Send started() {
    DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
    host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
    return send;
  }

  private static DispatchEvent silent(DispatchEffect.Send send) {
    return new DispatchEvent.StreamSilent(send.request().key(), send.attempt());
  }

  @Nested
  @DisplayName("whose first event crosses the check")
  class WhoseFirstEventCrosses {

    @Test
    @DisplayName("goes on and ends as the only one, LOST at 14.891 s of issue 29")
    void goesOn() {
      assertEquals(
          List.of(), host.apply(new DispatchEvent.ResponseStarted(first.request().key(), 1)));
      assertTrue(!sends(checked));
      assertEquals(
          1,
          only(host.end(first, AttemptOutcome.COMPLETED, true), DispatchEffect.Finished.class)
              .attempts());
      assertEquals(0, host.state().activeRequests());
    }

    @Test
    @DisplayName("is checked no more for silence before the first event")
    void isNotCheckedAgain() {
      host.apply(new DispatchEvent.ResponseStarted(first.request().key(), 1));
      DispatchEffect.WakeAfter wake = only(checked, DispatchEffect.WakeAfter.class);
      host.advance(wake.delay());
      List<DispatchEffect> effects =
          host.apply(new DispatchEvent.Wake(wake.requestKey(), wake.wakeNumber()));
      assertEquals(1, effects.size());
      only(effects, DispatchEffect.WakeAfter.class);
    }
  }

  @Test
  @DisplayName("is left although an earlier server has begun the response")
  void isLeftWhenResuming() {
    DispatchEffect.Send send = host.send("/talk/x", work(ADAPTER));
    host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
    host.announce(DispatchFixture.engine("e3"));
    List<DispatchEffect> resumed = host.end(send, AttemptOutcome.BROKEN, true);
    DispatchEffect.WithdrawAttempt withdraw =
        only(host.wake(resumed), DispatchEffect.WithdrawAttempt.class);
    assertEquals(2, withdraw.attempt());
    assertTrue(!withdraw.answering());
  }

  @Test
  @DisplayName("whose whole response crosses the check is not sent again")
  void isNotSentAgainOnceAnswered() {
    List<DispatchEffect> effects = host.end(first, AttemptOutcome.COMPLETED, true);
    assertTrue(!sends(checked) && !sends(effects));
    assertEquals(0, host.state().activeRequests());
  }
}
