package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.parsleyhead.core.dispatch.DispatchFixture.ADAPTER;
import static org.parsleyhead.core.dispatch.DispatchFixture.only;
import static org.parsleyhead.core.dispatch.DispatchFixture.work;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;

@DisplayName("The failure isolation")
class FailureIsolationTests {

  private static final Transition<DispatchState, DispatchEvent, DispatchEffect> FAILING =
      (state, event, time) -> {
        throw new IllegalStateException("defect");
      };

  private final DispatchFixture host = DispatchFixture.running();
  private final FailureIsolation isolation = new FailureIsolation(FAILING);

  private Step<DispatchState, DispatchEffect> apply(DispatchEvent event) {
    return isolation.apply(host.state(), event, MonotonicTime.ORIGIN);
  }

  @Test
  @DisplayName("answers a new request whose event fails")
  void answersNewRequest() {
    DispatchEffect.Send send = host.send("/read/x", Optional.empty());
    DispatchState fresh = DispatchState.initial(MonotonicTime.ORIGIN);
    Step<DispatchState, DispatchEffect> step =
        isolation.apply(fresh, new DispatchEvent.Received(send.request()), MonotonicTime.ORIGIN);
    assertEquals(
        DispatchRefusal.Code.INTERNAL_ERROR,
        only(step.effects(), DispatchEffect.Refuse.class).refusal().code());
    only(step.effects(), DispatchEffect.EventFailed.class);
  }

  @Test
  @DisplayName("cancels and answers a request that was sent, and releases its load")
  void answersSentRequest() {
    DispatchEffect.Send send = host.send("/book/x", Optional.empty());
    host.send("/read/x", Optional.empty());
    Step<DispatchState, DispatchEffect> step =
        apply(
            new DispatchEvent.AttemptEnded(
                send.request().key(),
                1,
                new AttemptResult(
                    AttemptOutcome.FAILED, 500, false, true, Optional.empty(), "test")));
    only(step.effects(), DispatchEffect.CancelAttempt.class);
    DispatchRefusal refusal = only(step.effects(), DispatchEffect.Refuse.class).refusal();
    assertEquals(DispatchRefusal.Code.INTERNAL_ERROR, refusal.code());
    assertEquals(Optional.empty(), refusal.retryAfter());
    assertEquals(1, step.state().activeRequests());
    assertEquals(
        1, step.state().sentLoads().values().stream().mapToInt(InstanceLoad::running).sum());
  }

  @Test
  @DisplayName("lets a response that has started go on, with its load")
  void keepsStartedResponse() {
    DispatchEffect.Send send = host.send("/chat/x", work(ADAPTER));
    host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
    Step<DispatchState, DispatchEffect> step =
        apply(new DispatchEvent.StreamSilent(send.request().key(), 1));
    only(step.effects(), DispatchEffect.EventFailed.class);
    assertEquals(1, step.effects().size());
    assertEquals(1, step.state().activeRequests());
    assertEquals(host.state().sentLoads(), step.state().sentLoads());
  }

  @Test
  @DisplayName("aborts a response that has started once its server has ended without a run left")
  void abortsStartedResponse() {
    DispatchEffect.Send send = host.send("/audit/x", work(ADAPTER));
    host.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
    Step<DispatchState, DispatchEffect> step =
        apply(
            new DispatchEvent.AttemptEnded(
                send.request().key(),
                1,
                new AttemptResult(
                    AttemptOutcome.BROKEN, 0, true, false, Optional.empty(), "test")));
    only(step.effects(), DispatchEffect.Abort.class);
    only(step.effects(), DispatchEffect.EventFailed.class);
    assertEquals(0, step.state().activeRequests());
    assertEquals(Map.of(), step.state().sentLoads());
  }

  @Test
  @DisplayName("throws failures of events that belong to no request")
  void throwsOtherFailures() {
    assertThrows(
        IllegalStateException.class, () -> apply(new DispatchEvent.InstancesAnnounced(List.of())));
    assertThrows(IllegalStateException.class, () -> apply(new DispatchEvent.Wake(77, 1)));
  }
}
