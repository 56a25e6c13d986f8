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
    return fixture.onlyEffect(RequestEffect.Refuse.class).refusal();
  }

  private void failAttempt(FailureStage stage, int attempt) {
    fixture.apply(
        new RequestEvent.AttemptFailed(RequestFixture.REQUEST, attempt, stage, 0, "broken"));
  }

  @Test
  @DisplayName("is refused with a retry delay while the host has no configuration")
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
    @DisplayName("reserves the tokens of prompt and answer for its client account")
    void reservesTokens() {
      fixture.apply(new RequestEvent.Received(RequestFixture.modelRequest("floor@2")));
      RequestEffect.Reserve reserve = fixture.onlyEffect(RequestEffect.Reserve.class);
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
    @DisplayName("is not sent before its repeat check")
    void isChecked() {
      fixture.admitPlainCall("/dispatch");
      fixture.onlyEffect(RequestEffect.CheckRepeat.class);
      assertFalse(fixture.hasEffect(RequestEffect.SubmitPlainCall.class));
    }

    @Test
    @DisplayName(
        "is refused with an unknown outcome if it is a duplicate, and its tokens are released")
    void refusesDuplicate() {
      fixture.admitPlainCall("/dispatch");
      fixture.apply(
          new RequestEvent.RepeatChecked(RequestFixture.REQUEST, RepeatCheckResult.DUPLICATE));
      assertEquals(RefusalCode.DUPLICATE_REQUEST, refusal().code());
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
      fixture.onlyEffect(RequestEffect.Release.class);
    }

    @ParameterizedTest
    @EnumSource(
        value = FailureStage.class,
        names = {"AFTER_WRITE", "DURING_ANSWER"})
    @DisplayName("is never retried after a part of it was written")
    void isNotRetriedAfterWrite(FailureStage stage) {
      fixture.sendDispatch();
      failAttempt(stage, 1);
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
      assertFalse(fixture.hasEffect(RequestEffect.SubmitPlainCall.class));
      assertFalse(fixture.hasEffect(RequestEffect.ForgetRepeat.class));
    }

    @Test
    @DisplayName("is retried on another upstream if nothing was written")
    void isRetriedIfUnwritten() {
      fixture.sendDispatch();
      failAttempt(FailureStage.BEFORE_WRITE, 1);
      RequestEffect.SubmitPlainCall submit =
          fixture.onlyEffect(RequestEffect.SubmitPlainCall.class);
      assertEquals(Set.of(RequestFixture.SERVICE.name()), submit.excluded());
    }

    @Test
    @DisplayName("is refused as not run and may be repeated if no upstream could be reached")
    void mayBeRepeatedIfNotRun() {
      fixture.sendDispatch();
      failAttempt(FailureStage.BEFORE_WRITE, 1);
      RequestEvent noUpstream =
          new RequestEvent.NotDispatched(RequestFixture.REQUEST, "none", Optional.empty());
      fixture.apply(noUpstream);
      assertTrue(fixture.onlyEffect(RequestEffect.SubmitPlainCall.class).excluded().isEmpty());
      fixture.apply(noUpstream);
      assertEquals(ExecutionOutcome.NOT_RUN, refusal().outcome());
      assertTrue(fixture.hasEffect(RequestEffect.ForgetRepeat.class));
    }

    @Test
    @DisplayName("is refused with an unknown outcome if its deadline passes after it was sent")
    void deadlineLeavesUnknown() {
      fixture.sendDispatch();
      fixture.advance(Duration.ofSeconds(31));
      fixture.apply(new RequestEvent.Tick());
      assertEquals(RefusalCode.DEADLINE_EXCEEDED, refusal().code());
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
      assertTrue(fixture.hasEffect(RequestEffect.CancelAttempt.class));
    }
  }

  @Nested
  @DisplayName("for a model")
  class ForModel {

    @Test
    @DisplayName("is resumed on another engine if its stream is interrupted")
    void resumesStream() {
      fixture.sendModelCall();
      fixture.apply(new RequestEvent.AnswerStarted(RequestFixture.REQUEST, 1));
      failAttempt(FailureStage.DURING_ANSWER, 1);
      RequestEffect.SubmitModelCall submit =
          fixture.onlyEffect(RequestEffect.SubmitModelCall.class);
      assertEquals(Set.of(RequestFixture.ENGINE.name()), submit.request().excluded());
    }

    @Test
    @DisplayName("ignores events of a superseded attempt")
    void ignoresOldAttempts() {
      fixture.sendModelCall();
      failAttempt(FailureStage.AFTER_WRITE, 1);
      fixture.apply(
          new RequestEvent.Dispatched(
              RequestFixture.REQUEST, RequestFixture.ENGINE, RequestFixture.LATER));
      fixture.apply(new RequestEvent.AnswerFinished(RequestFixture.REQUEST, 1, 10));
      assertEquals(1, fixture.state().activeCount());
      fixture.apply(new RequestEvent.AnswerFinished(RequestFixture.REQUEST, 2, 70));
      assertEquals(70, fixture.onlyEffect(RequestEffect.Settle.class).tokens());
      assertEquals(0, fixture.state().activeCount());
    }

    @Test
    @DisplayName("is not sent more often than the maximum number of attempts")
    void limitsAttempts() {
      fixture.sendModelCall();
      for (int attempt = 1; attempt < RequestSettings.DEFAULTS.maximumAttempts(); attempt++) {
        failAttempt(FailureStage.AFTER_WRITE, attempt);
        fixture.apply(
            new RequestEvent.Dispatched(
                RequestFixture.REQUEST, RequestFixture.ENGINE, RequestFixture.LATER));
      }
      failAttempt(FailureStage.AFTER_WRITE, RequestSettings.DEFAULTS.maximumAttempts());
      assertEquals(RefusalCode.UPSTREAM_FAILED, refusal().code());
      assertEquals(ExecutionOutcome.UNKNOWN, refusal().outcome());
    }

    @Test
    @DisplayName("is cancelled when its key is revoked, even after its answer has started")
    void isCancelledWithKey() {
      fixture.sendModelCall();
      fixture.apply(new RequestEvent.AnswerStarted(RequestFixture.REQUEST, 1));
      fixture.apply(
          new RequestEvent.CatalogueChanged(Catalogue.empty(), Set.of(RequestFixture.DIGEST)));
      assertEquals(RefusalCode.KEY_UNKNOWN, refusal().code());
      assertTrue(fixture.hasEffect(RequestEffect.CancelAttempt.class));
    }

    @Test
    @DisplayName("is cancelled at the engine and settled when its caller disconnects")
    void isCancelledWithCaller() {
      fixture.sendModelCall();
      fixture.apply(new RequestEvent.AnswerStarted(RequestFixture.REQUEST, 1));
      fixture.apply(new RequestEvent.CallerDisconnected(RequestFixture.REQUEST, 7));
      assertTrue(fixture.hasEffect(RequestEffect.CancelAttempt.class));
      assertEquals(107, fixture.onlyEffect(RequestEffect.Settle.class).tokens());
      assertEquals(
          RequestFixture.ENGINE.name(),
          fixture.onlyEffect(RequestEffect.Withdraw.class).upstream().orElseThrow());
    }
  }

  @Test
  @DisplayName("withdraws from an upstream that is chosen after the request has ended")
  void withdrawsLateDispatch() {
    fixture.apply(
        new RequestEvent.Dispatched(
            RequestFixture.REQUEST, RequestFixture.ENGINE, RequestFixture.LATER));
    assertTrue(fixture.hasEffect(RequestEffect.Withdraw.class));
    assertFalse(fixture.hasEffect(RequestEffect.Send.class));
  }

  @Test
  @DisplayName("releases its pending reservation when its caller disconnects")
  void releasesPendingReservation() {
    fixture.apply(new RequestEvent.Received(RequestFixture.modelRequest("floor@2")));
    fixture.apply(new RequestEvent.CallerDisconnected(RequestFixture.REQUEST, 0));
    fixture.onlyEffect(RequestEffect.Release.class);
    fixture.apply(new RequestEvent.Admitted(RequestFixture.REQUEST));
    assertFalse(fixture.hasEffect(RequestEffect.SubmitModelCall.class));
  }
}
