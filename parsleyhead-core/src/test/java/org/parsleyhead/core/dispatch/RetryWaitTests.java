package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.overload.WaitingQueue;

@DisplayName("A request that a server did not run, while the retry budget is spent,")
class RetryWaitTests {

  private final DispatchFixture host = DispatchFixture.running();

  @BeforeEach
  void raiseLimit() {
    host.apply(new DispatchEvent.CatalogueChanged(DispatchFixture.catalogue(2, 10_000_000)));
  }

  private List<DispatchEffect> rejected(AttemptOutcome outcome) {
    DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
    host.exhaustBudget("engine");
    return host.end(send, outcome, false);
  }

  private static long count(List<DispatchEffect> effects, Class<?> type) {
    return effects.stream().filter(type::isInstance).count();
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"NO_ROOM", "MISDIRECTED", "NOT_SENT"})
  @DisplayName("waits for a retry that later requests earn, and is not refused at once")
  void waits(AttemptOutcome outcome) {
    List<DispatchEffect> effects = rejected(outcome);
    assertEquals(0, count(effects, DispatchEffect.Refuse.class));
    assertEquals(1, host.state().waiting().size());
    long sends = 0;
    for (int requests = 0; requests < 10 && sends < 2; requests++) {
      sends = count(host.receive("/chat/x", work(ADAPTER)), DispatchEffect.Send.class);
    }
    assertEquals(2, sends);
    assertEquals(0, host.state().waiting().size());
  }

  @Test
  @DisplayName("is refused as not run with a Retry-After when half of its time has passed")
  void givesUp() {
    List<DispatchEffect> effects = rejected(AttemptOutcome.NO_ROOM);
    Duration waited = Duration.ZERO;
    while (count(effects, DispatchEffect.Refuse.class) == 0) {
      host.exhaustBudget("engine");
      waited = waited.plus(only(effects, DispatchEffect.WakeAfter.class).delay());
      effects = host.wake(effects);
    }
    DispatchRefusal refusal = only(effects, DispatchEffect.Refuse.class).refusal();
    assertEquals(DispatchRefusal.Code.NO_ROOM, refusal.code());
    assertTrue(refusal.retryAfter().isPresent());
    assertEquals(Duration.ofMillis(2_500), waited);
    assertEquals(0, host.state().requests().size());
  }

  @Test
  @DisplayName("leaves the queue with its caller")
  void leavesWithCaller() {
    rejected(AttemptOutcome.NO_ROOM);
    long key = host.state().requests().keySet().iterator().next();
    host.apply(new DispatchEvent.CallerDisconnected(key));
    assertEquals(0, host.state().waiting().size());
  }

  @Test
  @DisplayName("is refused at once as not run at a planned stop")
  void isRefusedAtStop() {
    rejected(AttemptOutcome.NO_ROOM);
    List<DispatchEffect> effects =
        host.apply(new DispatchEvent.Stopping(new StopPlan(StopStage.REJECT_ALL, host.now())));
    assertEquals(
        DispatchRefusal.Code.STOPPING, only(effects, DispatchEffect.Refuse.class).refusal().code());
    assertEquals(0, host.state().waiting().size());
  }

  @Test
  @DisplayName("does not wait without bound: beyond it, one request is refused for each new one")
  void bounded() {
    long refused = 0;
    int requests = WaitingQueue.MAXIMUM_REQUESTS + 10;
    for (int request = 0; request < requests; request++) {
      refused += count(rejected(AttemptOutcome.NO_ROOM), DispatchEffect.Refuse.class);
    }
    assertTrue(host.state().waiting().size() <= WaitingQueue.MAXIMUM_REQUESTS);
    assertEquals(requests, refused + host.state().waiting().size());
  }

  @Test
  @DisplayName(
      "is refused at once, not sent, if its prompt cannot be processed before its deadline")
  void refusesHopeless() {
    Optional<ModelWork> large =
        Optional.of(new ModelWork(ADAPTER, 9_190, 50, List.of(new PromptPart(7, 9_190))));
    List<DispatchEffect> effects = host.receive("/chat/x", large, Duration.ofMillis(50), key -> {});
    assertEquals(
        DispatchRefusal.Code.NO_ROOM, only(effects, DispatchEffect.Refuse.class).refusal().code());
    only(
        host.receive("/chat/x", large, Duration.ofMillis(100), key -> {}),
        DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("is not refused for the output that it may have, whose stated length is a maximum")
  void countsPromptOnly() {
    Optional<ModelWork> open =
        Optional.of(new ModelWork(ADAPTER, 100, 10_000_000, List.of(new PromptPart(7, 100))));
    assertEquals(
        0,
        count(
            host.receive("/chat/x", open, Duration.ofSeconds(5), key -> {}),
            DispatchEffect.Refuse.class));
  }
}
