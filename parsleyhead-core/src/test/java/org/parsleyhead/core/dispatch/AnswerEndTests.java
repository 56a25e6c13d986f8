package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.PART;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.sharedWork;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.RequestLimits;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.parsleyhead.core.serving.ServiceRoute;

/** One group for each place in docs/design/answers.md that the core decides. */
@DisplayName("An answer that has begun")
class AnswerEndTests {

  private static final Duration DEADLINE = Duration.ofSeconds(5);

  private final DispatchFixture host = DispatchFixture.running();
  private MonotonicTime receivedAt = host.now();
  private List<DispatchEffect> firstEffects;

  private DispatchEffect.Send sent(String path) {
    receivedAt = host.now();
    firstEffects = host.receive(path, sharedWork(PART.identity()));
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
  @DisplayName("ends")
  class Ends {

    @Test
    @DisplayName("by its last event")
    void byLastEvent() {
      assertFinishes(begun("/chat/x"));
    }

    @Test
    @DisplayName("if its caller leaves, and its attempt is cancelled")
    void byCaller() {
      DispatchEffect.Send send = begun("/chat/x");
      List<DispatchEffect> effects =
          host.apply(new DispatchEvent.CallerDisconnected(send.request().key()));
      only(effects, DispatchEffect.CancelAttempt.class);
      assertEquals(0, host.state().activeRequests());
      assertEquals(Map.of(), host.state().sentLoads());
    }

    @Test
    @DisplayName("if its caller leaves while it waits")
    void byCallerWhileItWaits() {
      DispatchEffect.Send send = begun("/chat/x");
      host.exhaustBudget("engine");
      List<DispatchEffect> effects = breakOff(send);
      host.apply(new DispatchEvent.CallerDisconnected(send.request().key()));
      assertEquals(0, host.state().activeRequests());
      assertEquals(List.of(), host.wake(effects));
    }

    @Test
    @DisplayName("at its deadline, at a server that goes on")
    void atDeadline() {
      begun("/chat/x");
      List<DispatchEffect> effects = host.wake(host.wake(firstEffects));
      only(effects, DispatchEffect.CancelAttempt.class);
      only(effects, DispatchEffect.Abort.class);
      assertEquals(DEADLINE, host.now().since(receivedAt));
      assertEquals(0, host.state().activeRequests());
    }

    @Test
    @DisplayName("with its server if its route is not repeatable")
    void withServer() {
      only(breakOff(begun("/audit/x")), DispatchEffect.Abort.class);
    }

    @Test
    @DisplayName("with the server of its last run")
    void withLastRun() {
      DispatchEffect.Send second = only(breakOff(begun("/chat/x")), DispatchEffect.Send.class);
      only(breakOff(second), DispatchEffect.Abort.class);
    }

    @Test
    @DisplayName("with the server of its last run if that sends an error instead")
    void withErrorOfLastRun() {
      DispatchEffect.Send second = only(breakOff(begun("/chat/x")), DispatchEffect.Send.class);
      only(
          host.end(second, AttemptOutcome.FAILED, true),
          DispatchEffect.DeliverBufferedResponse.class);
    }
  }

  @Nested
  @DisplayName("at a silent server")
  class Silent {

    private DispatchEvent silent(DispatchEffect.Send send) {
      return new DispatchEvent.StreamSilent(send.request().key(), send.attempt());
    }

    @Test
    @DisplayName("goes on if its first event crosses the check for silence")
    void crossing() {
      DispatchEffect.Send send = sent("/chat/x");
      List<DispatchEffect> checked = host.wake(firstEffects);
      assertGoesOn(checked);
      assertFalse(only(checked, DispatchEffect.WithdrawAttempt.class).answering());
      host.apply(started(send));
      host.apply(new DispatchEvent.AttemptKept(send.request().key(), 1));
      assertFinishes(send);
    }

    @Test
    @DisplayName("is only asked back while another server can take it")
    void isAskedBack() {
      DispatchEffect.Send send = begun("/chat/x");
      assertGoesOn(host.apply(silent(send)));
      assertEquals(1, host.state().activeRequests());
      assertFinishes(send);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/chat/x", "/audit/x"})
    @DisplayName("stays there while no other server can take it, or it may not run again")
    void stays(String path) {
      host.announce(
          DispatchFixture.instance("e1", "engine", true, 2, Map.of(ADAPTER, 1L)),
          DispatchFixture.instance("e2", "engine", false, 2, Map.of(ADAPTER, 1L)));
      DispatchEffect.Send send = begun(path);
      for (int report = 0; report < 5; report++) {
        assertEquals(List.of(), host.apply(silent(send)));
      }
      assertFinishes(send);
    }

    @Test
    @DisplayName("stays there while the retry budget is spent")
    void staysWithoutBudget() {
      DispatchEffect.Send send = begun("/chat/x");
      host.exhaustBudget("engine");
      assertEquals(List.of(), host.apply(silent(send)));
      assertFinishes(send);
    }

    @Test
    @DisplayName("returns to the server that was left if the last other one ends")
    void returnsToServerThatWasLeft() {
      DispatchEffect.Send first = begun("/chat/x");
      only(host.apply(silent(first)), DispatchEffect.WithdrawAttempt.class);
      DispatchEffect.Send second =
          only(host.end(first, AttemptOutcome.WITHDRAWN, true), DispatchEffect.Send.class);
      DispatchEffect.Send third = wakeUntilSent(breakOff(second));
      assertEquals(first.instance().identifier(), third.instance().identifier());
      only(breakOff(third), DispatchEffect.Abort.class);
      assertEquals(0, host.state().activeRequests());
    }

    @Test
    @DisplayName("waits for the server that was left until its deadline")
    void waitsForServerThatWasLeft() {
      DispatchEffect.Send first = begun("/chat/x");
      only(host.apply(silent(first)), DispatchEffect.WithdrawAttempt.class);
      DispatchEffect.Send second =
          only(host.end(first, AttemptOutcome.WITHDRAWN, true), DispatchEffect.Send.class);
      host.apply(new DispatchEvent.InstanceRemoved(first.instance().identifier()));
      host.advance(Duration.ofSeconds(2));
      assertEndsAtDeadline(breakOff(second), host::apply);
    }

    @Test
    @DisplayName("waits if it was withdrawn and no server can take it any more")
    void waitsAfterWithdrawal() {
      DispatchEffect.Send send = begun("/chat/x");
      only(host.apply(silent(send)), DispatchEffect.WithdrawAttempt.class);
      host.apply(new DispatchEvent.InstanceRemoved("e1"));
      host.apply(new DispatchEvent.InstanceRemoved("e2"));
      host.advance(Duration.ofSeconds(2));
      List<DispatchEffect> effects = host.end(send, AttemptOutcome.WITHDRAWN, true);
      assertGoesOn(effects);
      host.announce(DispatchFixture.engine("e3"));
      wakeUntilSent(effects);
    }
  }

  @Nested
  @DisplayName("while the configuration changes")
  class ConfigurationChanges {

    private List<DispatchEffect> change(
        List<ServiceRoute> routes, List<ServiceDefinition> services, List<AccountLimits> accounts) {
      return host.apply(
          new DispatchEvent.CatalogueChanged(
              new ServiceCatalogue(
                  host.state().catalogue().version() + 1,
                  routes,
                  services,
                  RequestLimits.INITIAL,
                  accounts)));
    }

    @Test
    @DisplayName("goes on although its key is revoked, and is resumed")
    void keyRevoked() {
      DispatchEffect.Send send = begun("/chat/x");
      assertEquals(
          List.of(), change(DispatchFixture.routes(), DispatchFixture.services(), List.of()));
      assertFinishes(wakeUntilSent(breakOff(send)));
    }

    @Test
    @DisplayName("goes on although its account may send nothing more, and is resumed")
    void rateLowered() {
      DispatchEffect.Send send = begun("/chat/x");
      List<AccountLimits> lowered = List.of(DispatchFixture.account(0.001));
      assertEquals(
          List.of(), change(DispatchFixture.routes(), DispatchFixture.services(), lowered));
      assertFinishes(wakeUntilSent(breakOff(send)));
    }

    @Test
    @DisplayName("goes on although its route is removed, and is resumed")
    void routeRemoved() {
      DispatchEffect.Send send = begun("/chat/x");
      assertEquals(
          List.of(),
          change(List.of(), DispatchFixture.services(), List.of(DispatchFixture.account(10_000))));
      assertFinishes(wakeUntilSent(breakOff(send)));
    }

    @Test
    @DisplayName("goes on although its service is removed")
    void serviceRemoved() {
      DispatchEffect.Send send = begun("/chat/x");
      assertEquals(List.of(), change(List.of(), List.of(), List.of()));
      assertFinishes(send);
    }

    @Test
    @DisplayName("waits after the end of its server until its removed service is back")
    void serviceBack() {
      DispatchEffect.Send send = begun("/chat/x");
      change(List.of(), List.of(), List.of());
      List<DispatchEffect> effects = breakOff(send);
      assertGoesOn(effects);
      effects = host.wake(effects);
      change(
          DispatchFixture.routes(),
          DispatchFixture.services(),
          List.of(DispatchFixture.account(10_000)));
      assertFinishes(wakeUntilSent(effects));
    }

    @Test
    @DisplayName("waits until its deadline if its service stays away")
    void serviceAway() {
      DispatchEffect.Send send = begun("/chat/x");
      change(List.of(), List.of(), List.of());
      assertEndsAtDeadline(breakOff(send), host::apply);
    }
  }

  @Nested
  @DisplayName("while servers and hosts come and go")
  class ServersChange {

    @Test
    @DisplayName("goes on although its server is removed, drains or is announced anew")
    void serverChanges() {
      DispatchEffect.Send send = begun("/chat/x");
      String server = send.instance().identifier();
      assertEquals(List.of(), host.apply(new DispatchEvent.InstanceRemoved(server)));
      host.advance(Duration.ofSeconds(3));
      assertEquals(List.of(), host.apply(new DispatchEvent.Tick()));
      host.announce(DispatchFixture.instance(server, "engine", true, 2, Map.of()));
      assertEquals(
          List.of(),
          host.apply(
              new DispatchEvent.InstanceNotice(
                  send.instance(), true, Optional.of(Duration.ofSeconds(9)))));
      assertFinishes(send);
    }

    @Test
    @DisplayName("waits while all servers refuse requests for longer than its time")
    void serversRefuse() {
      DispatchEffect.Send send = begun("/chat/x");
      for (String server : List.of("e1", "e2")) {
        host.apply(
            new DispatchEvent.InstanceNotice(
                DispatchFixture.engine(server), false, Optional.of(Duration.ofSeconds(60))));
      }
      assertEndsAtDeadline(breakOff(send), host::apply);
    }

    @Test
    @DisplayName("waits while the retry budget is spent")
    void budgetSpent() {
      DispatchEffect.Send send = begun("/chat/x");
      host.exhaustBudget("engine");
      assertFinishes(wakeUntilSent(breakOff(send)));
    }

    @Test
    @DisplayName("waits while hosts and owners change")
    void hostsChange() {
      DispatchEffect.Send send = begun("/chat/x");
      host.exhaustBudget("engine");
      List<DispatchEffect> effects = breakOff(send);
      host.apply(new DispatchEvent.LiveHostsChanged(List.of("self"), 3));
      List<DispatchEffect> changed =
          host.apply(new DispatchEvent.InstanceOwnersChanged(Set.of(), Duration.ofSeconds(60)));
      wakeUntilSent(contains(changed, DispatchEffect.WakeAfter.class) ? changed : effects);
    }

    @ParameterizedTest
    @EnumSource(
        value = AttemptOutcome.class,
        names = {"NOT_SENT", "NO_ROOM", "MISDIRECTED"})
    @DisplayName("waits until its deadline while its next servers do not run it, however often")
    void notRun(AttemptOutcome outcome) {
      List<DispatchEffect> effects = breakOff(begun("/chat/x"));
      while (!contains(effects, DispatchEffect.Abort.class)) {
        effects =
            contains(effects, DispatchEffect.Send.class)
                ? host.end(only(effects, DispatchEffect.Send.class), outcome, true)
                : host.wake(effects);
      }
      assertFalse(host.now().since(receivedAt).compareTo(DEADLINE) < 0);
    }
  }

  @Nested
  @DisplayName("at a planned stop")
  class PlannedStop {

    @ParameterizedTest
    @EnumSource(StopStage.class)
    @DisplayName("goes on, and is resumed")
    void goesOn(StopStage stage) {
      DispatchEffect.Send send = begun("/chat/x");
      assertEquals(
          List.of(), host.apply(new DispatchEvent.Stopping(new StopPlan(stage, host.now()))));
      assertFinishes(wakeUntilSent(breakOff(send)));
    }
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
