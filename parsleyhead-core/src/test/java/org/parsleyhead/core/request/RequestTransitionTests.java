package org.parsleyhead.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.account.CallerKey;
import org.parsleyhead.core.ticket.Catalogue;

@DisplayName("A request")
class RequestTransitionTests {

  private final RequestFixture fixture = new RequestFixture();

  private Refusal refusal() {
    return fixture.only(RequestEffect.Refuse.class).refusal();
  }

  private void fail(FailureStage stage, int attempt) {
    fixture.apply(
        new RequestEvent.AttemptFailed(RequestFixture.REQUEST, attempt, stage, 0, "broken"));
  }

  @Test
  @DisplayName("is refused for a while on a host that does not know the configuration yet")
  void needsConfiguration() {
    fixture.apply(new RequestEvent.CatalogueChanged(Catalogue.empty(), Set.of()));
    fixture.apply(new RequestEvent.Received(RequestFixture.modelRequest("floor@2")));
    assertEquals(503, refusal().code().status());
    assertTrue(refusal().retryAfter().isPresent());
  }

  @Nested
  @DisplayName("when it is received")
  class WhenReceived {

    @Test
    @DisplayName("is refused without a key")
    void needsKey() {
      RequestDescription description = RequestFixture.modelRequest("floor@2");
      fixture.apply(new RequestEvent.Received(withKey(description, Optional.empty())));
      assertEquals(RefusalCode.KEY_MISSING, refusal().code());
      assertEquals(ExecutionOutcome.NOT_RUN, refusal().outcome());
    }

    @Test
    @DisplayName("is refused with a key that was never issued")
    void needsKnownKey() {
      RequestDescription description = RequestFixture.modelRequest("floor@2");
      CallerKey unknown = new CallerKey("cd".repeat(32));
      fixture.apply(new RequestEvent.Received(withKey(description, Optional.of(unknown))));
      assertEquals(RefusalCode.KEY_UNKNOWN, refusal().code());
    }

    @Test
    @DisplayName("is refused for a version that is not declared")
    void needsDeclaredVersion() {
      fixture.apply(new RequestEvent.Received(RequestFixture.modelRequest("floor@3")));
      assertEquals(RefusalCode.MODEL_UNKNOWN, refusal().code());
    }

    @Test
    @DisplayName("reserves prompt and answer for its client account")
    void reservesTokens() {
      fixture.apply(new RequestEvent.Received(RequestFixture.modelRequest("floor@2")));
      RequestEffect.Reserve reserve = fixture.only(RequestEffect.Reserve.class);
      assertEquals(150, reserve.tokens());
      assertEquals(RequestFixture.ACCOUNT, reserve.clientAccount());
    }

    @Test
    @DisplayName("does not match a route whose prefix ends inside a segment")
    void matchesWholeSegments() {
      fixture.apply(
          new RequestEvent.Received(RequestFixture.description("/stockpile", Optional.empty())));
      assertEquals(RefusalCode.ROUTE_UNKNOWN, refusal().code());
    }

    private RequestDescription withKey(RequestDescription original, Optional<CallerKey> key) {
      return new RequestDescription(
          original.identifier(),
          original.method(),
          original.path(),
          key,
          original.modelCall(),
          original.idempotencyKey(),
          original.contentDigest());
    }
  }

  @Nested
  @DisplayName("that is not idempotent")
  class NotIdempotent {

    @Test
    @DisplayName("is not sent before it was checked for repetition")
    void isChecked() {
      fixture.admitPlainCall("/dispatch");
      fixture.only(RequestEffect.CheckRepeat.class);
      assertFalse(fixture.has(RequestEffect.SubmitPlainCall.class));
    }

    @Test
    @DisplayName("is refused as unknown if it is a repetition, and gives its tokens back")
    void refusesRepetition() {
      fixture.admitPlainCall("/dispatch");
      fixture.apply(
          new RequestEvent.RepeatChecked(RequestFixture.REQUEST, RepeatCheckResult.DUPLICATE));
      assertEquals(RefusalCode.DUPLICATE_REQUEST, refusal().code());
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
      fixture.only(RequestEffect.Release.class);
    }

    @ParameterizedTest
    @EnumSource(
        value = FailureStage.class,
        names = {"AFTER_WRITE", "DURING_ANSWER"})
    @DisplayName("is never sent again after something was written")
    void isNotRepeated(FailureStage stage) {
      fixture.sendDispatch();
      fail(stage, 1);
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
      assertFalse(fixture.has(RequestEffect.SubmitPlainCall.class));
      assertFalse(fixture.has(RequestEffect.ForgetRepeat.class));
    }

    @Test
    @DisplayName("is sent to another upstream if nothing was written")
    void isRepeatedIfUnwritten() {
      fixture.sendDispatch();
      fail(FailureStage.BEFORE_WRITE, 1);
      RequestEffect.SubmitPlainCall submit = fixture.only(RequestEffect.SubmitPlainCall.class);
      assertEquals(Set.of(RequestFixture.SERVICE.name()), submit.excluded());
    }

    @Test
    @DisplayName("is refused as not run if no upstream could be reached, and may come again")
    void isReleasedIfNotRun() {
      fixture.sendDispatch();
      fail(FailureStage.BEFORE_WRITE, 1);
      RequestEvent noUpstream =
          new RequestEvent.NotDispatched(RequestFixture.REQUEST, "none", Optional.empty());
      fixture.apply(noUpstream);
      assertTrue(fixture.only(RequestEffect.SubmitPlainCall.class).excluded().isEmpty());
      fixture.apply(noUpstream);
      assertEquals(ExecutionOutcome.NOT_RUN, refusal().outcome());
      assertTrue(fixture.has(RequestEffect.ForgetRepeat.class));
    }

    @Test
    @DisplayName("is refused as unknown when its deadline passes after it was sent")
    void deadlineLeavesUnknown() {
      fixture.sendDispatch();
      fixture.advance(Duration.ofSeconds(31));
      fixture.apply(new RequestEvent.Tick());
      assertEquals(RefusalCode.DEADLINE_EXCEEDED, refusal().code());
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
      assertTrue(fixture.has(RequestEffect.CancelAttempt.class));
    }
  }

  @Nested
  @DisplayName("for a model")
  class ForModel {

    @Test
    @DisplayName("is resumed on another engine when its stream breaks")
    void resumesStream() {
      fixture.sendModelCall();
      fixture.apply(new RequestEvent.AnswerStarted(RequestFixture.REQUEST, 1));
      fail(FailureStage.DURING_ANSWER, 1);
      RequestEffect.SubmitModelCall submit = fixture.only(RequestEffect.SubmitModelCall.class);
      assertEquals(Set.of(RequestFixture.ENGINE.name()), submit.request().excluded());
    }

    @Test
    @DisplayName("ignores what is told of an attempt that was superseded")
    void ignoresOldAttempts() {
      fixture.sendModelCall();
      fail(FailureStage.AFTER_WRITE, 1);
      fixture.apply(
          new RequestEvent.Dispatched(
              RequestFixture.REQUEST, RequestFixture.ENGINE, RequestFixture.LATER));
      fixture.apply(new RequestEvent.AnswerFinished(RequestFixture.REQUEST, 1, 10));
      assertEquals(1, fixture.state().activeCount());
      fixture.apply(new RequestEvent.AnswerFinished(RequestFixture.REQUEST, 2, 70));
      assertEquals(70, fixture.only(RequestEffect.Settle.class).tokens());
      assertEquals(0, fixture.state().activeCount());
    }

    @Test
    @DisplayName("is not sent more often than the limit")
    void limitsAttempts() {
      fixture.sendModelCall();
      for (int attempt = 1; attempt < RequestSettings.DEFAULTS.maximumAttempts(); attempt++) {
        fail(FailureStage.AFTER_WRITE, attempt);
        fixture.apply(
            new RequestEvent.Dispatched(
                RequestFixture.REQUEST, RequestFixture.ENGINE, RequestFixture.LATER));
      }
      fail(FailureStage.AFTER_WRITE, RequestSettings.DEFAULTS.maximumAttempts());
      assertEquals(RefusalCode.UPSTREAM_FAILED, refusal().code());
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
    }

    @Test
    @DisplayName("ends when its key is withdrawn, also in the middle of its answer")
    void endsWithItsKey() {
      fixture.sendModelCall();
      fixture.apply(new RequestEvent.AnswerStarted(RequestFixture.REQUEST, 1));
      fixture.apply(
          new RequestEvent.CatalogueChanged(Catalogue.empty(), Set.of(RequestFixture.DIGEST)));
      assertEquals(RefusalCode.KEY_UNKNOWN, refusal().code());
      assertTrue(fixture.has(RequestEffect.CancelAttempt.class));
    }

    @Test
    @DisplayName("is cancelled at the engine and settled when its caller goes away")
    void isCancelledWithCaller() {
      fixture.sendModelCall();
      fixture.apply(new RequestEvent.AnswerStarted(RequestFixture.REQUEST, 1));
      fixture.apply(new RequestEvent.CallerGone(RequestFixture.REQUEST, 7));
      assertTrue(fixture.has(RequestEffect.CancelAttempt.class));
      assertEquals(107, fixture.only(RequestEffect.Settle.class).tokens());
      assertEquals(
          RequestFixture.ENGINE.name(),
          fixture.only(RequestEffect.Withdraw.class).upstream().orElseThrow());
    }
  }

  @Test
  @DisplayName("frees a place that was given to it after it had ended")
  void freesLateDispatch() {
    fixture.apply(
        new RequestEvent.Dispatched(
            RequestFixture.REQUEST, RequestFixture.ENGINE, RequestFixture.LATER));
    assertTrue(fixture.has(RequestEffect.Withdraw.class));
    assertFalse(fixture.has(RequestEffect.Send.class));
  }

  @Test
  @DisplayName("gives up its place in the wait for tokens when its caller goes away")
  void releasesWaitForTokens() {
    fixture.apply(new RequestEvent.Received(RequestFixture.modelRequest("floor@2")));
    fixture.apply(new RequestEvent.CallerGone(RequestFixture.REQUEST, 0));
    fixture.only(RequestEffect.Release.class);
    fixture.apply(new RequestEvent.Admitted(RequestFixture.REQUEST));
    assertFalse(fixture.has(RequestEffect.SubmitModelCall.class));
  }
}
