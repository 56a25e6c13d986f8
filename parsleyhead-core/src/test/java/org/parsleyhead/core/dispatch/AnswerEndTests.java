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
}
