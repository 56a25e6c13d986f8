package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.parsleyhead.core.dispatch.DispatchFixture.PART;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.sharedWork;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.api.MonotonicTime;

/** One group for each place in docs/design/answers.md that the core decides. */
@DisplayName("An answer that has begun")
class AnswerEndTests {

  private static final Duration DEADLINE = Duration.ofSeconds(5);

  private final DispatchFixture host = DispatchFixture.running();
  private MonotonicTime receivedAt = host.now();
  private List<DispatchEffect> firstEffects;

  private DispatchEffect.Send sent(String path) {
    receivedAt = host.now();
    firstEffects = host.receive(path, sharedWork());
    return only(firstEffects, DispatchEffect.Send.class);
  }

  private DispatchEffect.Send begun(String path) {
    DispatchEffect.Send send = sent(path);
    host.apply(started(send));
    return send;
  }

  private static DispatchEvent started(DispatchEffect.Send send) {
    return new DispatchEvent.ResponseStarted(send.request().key(), send.attempt());
  }

  private static DispatchEvent ended(DispatchEffect.Send send, AttemptOutcome outcome) {
    return new DispatchEvent.AttemptEnded(
        send.request().key(),
        send.attempt(),
        new AttemptResult(outcome, 0, true, false, Optional.empty(), "test"));
  }

  private List<DispatchEffect> breakOff(DispatchEffect.Send send) {
    return host.apply(ended(send, AttemptOutcome.BROKEN));
  }

  private static boolean contains(List<DispatchEffect> effects, Class<?> type) {
    return effects.stream().anyMatch(type::isInstance);
  }

  private static void assertGoesOn(List<DispatchEffect> effects) {
    assertFalse(contains(effects, DispatchEffect.Abort.class), () -> "aborted: " + effects);
    assertFalse(contains(effects, DispatchEffect.Refuse.class), () -> "refused: " + effects);
    assertFalse(contains(effects, DispatchEffect.CancelAttempt.class), () -> "cut: " + effects);
  }

  /** Plays wake events until the answer is sent again. */
  private DispatchEffect.Send wakeUntilSent(List<DispatchEffect> effects) {
    List<DispatchEffect> next = effects;
    while (!contains(next, DispatchEffect.Send.class)) {
      assertGoesOn(next);
      next = host.wake(next);
    }
    return only(next, DispatchEffect.Send.class);
  }

  /** Requires that an answer goes on without a send until its deadline, and ends there. */
  private void assertEndsAtDeadline(
      List<DispatchEffect> effects, Function<DispatchEvent, List<DispatchEffect>> handling) {
    List<DispatchEffect> next = effects;
    while (host.now().since(receivedAt).compareTo(DEADLINE) < 0) {
      assertGoesOn(next);
      assertFalse(contains(next, DispatchEffect.Send.class));
      next = handling.apply(host.awaitWake(next));
    }
    only(next, DispatchEffect.Abort.class);
    assertEquals(DEADLINE, host.now().since(receivedAt));
    assertEquals(0, host.state().activeRequests());
    assertEquals(Map.of(), host.state().sentLoads());
  }

  private void assertFinishes(DispatchEffect.Send send) {
    only(host.end(send, AttemptOutcome.COMPLETED, true), DispatchEffect.Finished.class);
    assertEquals(0, host.state().activeRequests());
    assertEquals(Map.of(), host.state().sentLoads());
  }

  private void restrict() {
    host.advance(Duration.ofSeconds(2));
    assertGoesOn(host.restrict(PART));
  }

  @Nested
  @DisplayName("with a trait that becomes restricted")
  class Restricted {

    @Test
    @DisplayName("goes on at its server")
    void goesOn() {
      DispatchEffect.Send send = begun("/chat/x");
      restrict();
      assertFinishes(send);
    }

    @Test
    @DisplayName("waits after the end of its server, and is sent again once that is lifted")
    void waitsForLift() {
      DispatchEffect.Send send = begun("/chat/x");
      restrict();
      List<DispatchEffect> effects = breakOff(send);
      assertEquals(
          DispatchRefusal.Code.QUARANTINED,
          only(effects, DispatchEffect.ResumptionDelayed.class).code());
      effects = host.wake(effects);
      assertGoesOn(effects);
      host.apply(new DispatchEvent.RestrictionLifted(PART));
      assertEquals(2, wakeUntilSent(effects).attempt());
    }

    @Test
    @DisplayName("waits although its start was not reported")
    void waitsWithoutReportedStart() {
      DispatchEffect.Send send = sent("/chat/x");
      restrict();
      List<DispatchEffect> effects = breakOff(send);
      assertGoesOn(effects);
      host.apply(new DispatchEvent.RestrictionLifted(PART));
      wakeUntilSent(effects);
    }

    @Test
    @DisplayName("waits until its deadline, and ends no other server")
    void waitsUntilDeadline() {
      DispatchEffect.Send send = begun("/chat/x");
      restrict();
      assertEndsAtDeadline(breakOff(send), host::apply);
    }

    @Test
    @DisplayName("is taken back from a server that has not answered, and waits")
    void isTakenBack() {
      DispatchEffect.Send second = only(breakOff(begun("/talk/x")), DispatchEffect.Send.class);
      host.advance(Duration.ofSeconds(2));
      only(host.restrict(PART), DispatchEffect.WithdrawAttempt.class);
      List<DispatchEffect> effects = host.end(second, AttemptOutcome.WITHDRAWN, false);
      assertGoesOn(effects);
      host.apply(new DispatchEvent.RestrictionLifted(PART));
      assertEquals(3, wakeUntilSent(effects).attempt());
    }

    @Test
    @DisplayName("is not taken back from its last run, which may still complete it")
    void keepsLastRun() {
      DispatchEffect.Send second = only(breakOff(begun("/chat/x")), DispatchEffect.Send.class);
      host.advance(Duration.ofSeconds(2));
      List<DispatchEffect> effects = host.restrict(PART);
      assertFalse(contains(effects, DispatchEffect.WithdrawAttempt.class));
      assertFinishes(second);
    }
  }

  @Nested
  @DisplayName("and one of whose events fails to be handled")
  class EventFails {

    private void assertOnlyLogged(List<DispatchEffect> effects) {
      only(effects, DispatchEffect.EventFailed.class);
      assertEquals(1, effects.size(), effects::toString);
    }

    @Test
    @DisplayName("goes on if that is its start, which is not forgotten")
    void start() {
      DispatchEffect.Send send = sent("/chat/x");
      assertOnlyLogged(host.fail(started(send)));
      assertFalse(contains(host.wake(firstEffects), DispatchEffect.WithdrawAttempt.class));
      assertFinishes(send);
    }

    @Test
    @DisplayName("is sent again after the end of its server although its start failed")
    void startAndBreak() {
      DispatchEffect.Send send = sent("/chat/x");
      host.fail(started(send));
      host.exhaustBudget("engine");
      wakeUntilSent(breakOff(send));
    }

    @Test
    @DisplayName("goes on if that is its silence")
    void silence() {
      DispatchEffect.Send send = begun("/chat/x");
      assertOnlyLogged(host.fail(new DispatchEvent.StreamSilent(send.request().key(), 1)));
      assertFinishes(send);
    }

    @Test
    @DisplayName("goes on if that is the news that its attempt was kept")
    void kept() {
      DispatchEffect.Send send = begun("/chat/x");
      assertOnlyLogged(host.fail(new DispatchEvent.AttemptKept(send.request().key(), 1)));
      assertFinishes(send);
    }

    @Test
    @DisplayName("goes on if that is a wake, also if its start is not known yet")
    void wake() {
      DispatchEffect.Send send = sent("/chat/x");
      List<DispatchEffect> effects = host.fail(host.awaitWake(firstEffects));
      assertGoesOn(effects);
      only(effects, DispatchEffect.WakeAfter.class);
      host.apply(started(send));
      assertFinishes(send);
    }

    @Test
    @DisplayName("goes on if that is a former wake, without another one")
    void formerWake() {
      DispatchEffect.Send send = begun("/chat/x");
      assertOnlyLogged(host.fail(new DispatchEvent.Wake(send.request().key(), 0)));
      assertFinishes(send);
    }

    @Test
    @DisplayName("ends at its deadline after a wake failed")
    void deadlineAfterWake() {
      begun("/chat/x");
      List<DispatchEffect> effects = host.fail(host.awaitWake(firstEffects));
      only(effects, DispatchEffect.EventFailed.class);
      List<DispatchEffect> next = host.wake(effects);
      while (!contains(next, DispatchEffect.Abort.class)) {
        assertGoesOn(next);
        next = host.wake(next);
      }
      only(next, DispatchEffect.CancelAttempt.class);
      assertEquals(DEADLINE, host.now().since(receivedAt));
      assertEquals(0, host.state().activeRequests());
    }

    @Test
    @DisplayName("waits on and ends at its deadline if each wake fails")
    void deadlineIfEachWakeFails() {
      DispatchEffect.Send send = begun("/chat/x");
      host.exhaustBudget("engine");
      assertEndsAtDeadline(breakOff(send), host::fail);
    }

    @Test
    @DisplayName("waits on for its next server after a wake failed")
    void waitsOn() {
      DispatchEffect.Send send = begun("/chat/x");
      host.exhaustBudget("engine");
      List<DispatchEffect> effects = host.fail(host.awaitWake(breakOff(send)));
      only(effects, DispatchEffect.EventFailed.class);
      wakeUntilSent(effects);
    }

    @Test
    @DisplayName("is only released if that is its complete end, since its caller has everything")
    void completeEnd() {
      DispatchEffect.Send send = begun("/chat/x");
      List<DispatchEffect> effects = host.fail(ended(send, AttemptOutcome.COMPLETED));
      assertGoesOn(effects);
      only(effects, DispatchEffect.EventFailed.class);
      only(effects, DispatchEffect.Finished.class);
      assertEquals(0, host.state().activeRequests());
      assertEquals(Map.of(), host.state().sentLoads());
    }

    @ParameterizedTest
    @EnumSource(
        value = AttemptOutcome.class,
        names = {"BROKEN", "WITHDRAWN"})
    @DisplayName("is sent again if that is the end of a server, with a run left")
    void endWithRunLeft(AttemptOutcome outcome) {
      DispatchEffect.Send send = begun("/chat/x");
      List<DispatchEffect> effects = host.fail(ended(send, outcome));
      only(effects, DispatchEffect.EventFailed.class);
      assertEquals(Map.of(), host.state().sentLoads());
      assertEquals(2, wakeUntilSent(effects).attempt());
    }

    @Test
    @DisplayName("is sent again if that is the end of a server, and its start was not reported")
    void endWithoutReportedStart() {
      DispatchEffect.Send send = sent("/chat/x");
      wakeUntilSent(host.fail(ended(send, AttemptOutcome.BROKEN)));
    }

    @Test
    @DisplayName("is aborted if that is the end of a server, with no run left")
    void endWithoutRunLeft() {
      List<DispatchEffect> effects = host.fail(ended(begun("/audit/x"), AttemptOutcome.BROKEN));
      only(effects, DispatchEffect.EventFailed.class);
      only(effects, DispatchEffect.Abort.class);
      assertEquals(0, host.state().activeRequests());
      assertEquals(Map.of(), host.state().sentLoads());
    }

    @Test
    @DisplayName("goes on if that is the end of a former attempt")
    void formerEnd() {
      DispatchEffect.Send first = begun("/chat/x");
      DispatchEffect.Send second = only(breakOff(first), DispatchEffect.Send.class);
      assertOnlyLogged(host.fail(ended(first, AttemptOutcome.BROKEN)));
      assertFinishes(second);
    }
  }
}
