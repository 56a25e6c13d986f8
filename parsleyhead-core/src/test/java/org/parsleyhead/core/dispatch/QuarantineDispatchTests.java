package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.quarantine.Audience;
import org.parsleyhead.core.quarantine.Standing;
import org.parsleyhead.core.quarantine.Trait;

@DisplayName("The dispatch of requests that may end their servers")
class QuarantineDispatchTests {

  private static final long DEADLY_PART = 66;

  private final DispatchFixture fixture = DispatchFixture.running();

  private static Optional<ModelWork> work(long part) {
    return Optional.of(
        new ModelWork(
            DispatchFixture.ADAPTER,
            100,
            50,
            List.of(new PromptPart(part, 50), new PromptPart(part + 1_000, 50))));
  }

  /** Answers a sound request, so that its adapter and its part are above suspicion. */
  private void answerSound() {
    DispatchEffect.Send sound = fixture.send("/chat/x", work(1));
    fixture.apply(new DispatchEvent.ResponseStarted(sound.request().key(), sound.attempt()));
    fixture.advance(Duration.ofMillis(50));
  }

  @Test
  @DisplayName("does not repeat a request whose server ended when it began to answer")
  void doesNotRepeat() {
    answerSound();
    DispatchEffect.Send send = fixture.send("/chat/x", work(DEADLY_PART));
    List<DispatchEffect> effects = fixture.lose(send, ResponseStage.HEAD);
    DispatchEffect.Refuse refuse = DispatchFixture.only(effects, DispatchEffect.Refuse.class);
    assertEquals(DispatchRefusal.Code.UPSTREAM_FAILED, refuse.refusal().code());
    assertTrue(effects.stream().noneMatch(DispatchEffect.Send.class::isInstance));
  }

  @Test
  @DisplayName("repeats a request that was lost in the queue of its server")
  void repeatsWaiting() {
    answerSound();
    DispatchEffect.Send send = fixture.send("/chat/x", work(DEADLY_PART));
    List<DispatchEffect> effects = fixture.lose(send, ResponseStage.NONE);
    DispatchFixture.only(effects, DispatchEffect.Send.class);
  }

  @Test
  @DisplayName("refuses other requests with the part, as not run, and sends those without it")
  void refusesPart() {
    answerSound();
    fixture.lose(fixture.send("/chat/x", work(DEADLY_PART)), ResponseStage.HEAD);
    DispatchEffect.Refuse refuse =
        DispatchFixture.only(
            fixture.receive("/chat/x", work(DEADLY_PART)), DispatchEffect.Refuse.class);
    assertEquals(DispatchRefusal.Code.QUARANTINED, refuse.refusal().code());
    assertTrue(refuse.refusal().retryAfter().isPresent());
    fixture.send("/chat/x", work(1));
  }

  @Test
  @DisplayName("tells the other hosts at once")
  void tells() {
    answerSound();
    List<DispatchEffect> effects =
        fixture.lose(fixture.send("/chat/x", work(DEADLY_PART)), ResponseStage.HEAD);
    DispatchEffect.TellQuarantine tell =
        DispatchFixture.only(effects, DispatchEffect.TellQuarantine.class);
    assertEquals(Audience.ALL, tell.audience());
    assertEquals(new Trait(Trait.Kind.PROMPT_PART, DEADLY_PART), tell.reports().get(0).trait());
  }

  @Test
  @DisplayName("takes back what no server has begun to answer once another host tells of the part")
  void takesBack() {
    answerSound();
    DispatchFixture other = DispatchFixture.running();
    List<DispatchEffect> lost =
        other.lose(other.send("/chat/x", work(DEADLY_PART)), ResponseStage.HEAD);
    DispatchEffect.TellQuarantine tell =
        DispatchFixture.only(lost, DispatchEffect.TellQuarantine.class);
    DispatchEffect.Send send = fixture.send("/chat/x", work(DEADLY_PART));
    List<DispatchEffect> effects =
        fixture.apply(new DispatchEvent.QuarantineNews("other", tell.reports()));
    DispatchEffect.WithdrawAttempt withdraw =
        DispatchFixture.only(effects, DispatchEffect.WithdrawAttempt.class);
    assertEquals(send.request(), withdraw.request());
    DispatchFixture.only(
        fixture.end(send, AttemptOutcome.WITHDRAWN, false), DispatchEffect.Refuse.class);
  }

  @Test
  @DisplayName("does not refuse a request whose first event crosses the news of another host")
  void keepsWhatIsAnswered() {
    answerSound();
    DispatchFixture other = DispatchFixture.running();
    List<DispatchEffect> lost =
        other.lose(other.send("/chat/x", work(DEADLY_PART)), ResponseStage.HEAD);
    DispatchEffect.TellQuarantine tell =
        DispatchFixture.only(lost, DispatchEffect.TellQuarantine.class);
    DispatchEffect.Send send = fixture.send("/chat/x", work(DEADLY_PART));
    List<DispatchEffect> effects =
        fixture.apply(new DispatchEvent.QuarantineNews("other", tell.reports()));
    assertTrue(effects.stream().noneMatch(DispatchEffect.Refuse.class::isInstance));
    fixture.apply(new DispatchEvent.ResponseStarted(send.request().key(), 1));
    DispatchFixture.only(
        fixture.end(send, AttemptOutcome.COMPLETED, true), DispatchEffect.Finished.class);
  }

  @Test
  @DisplayName("sends requests again after operators have lifted the restriction")
  void lifts() {
    answerSound();
    fixture.lose(fixture.send("/chat/x", work(DEADLY_PART)), ResponseStage.HEAD);
    Trait part = new Trait(Trait.Kind.PROMPT_PART, DEADLY_PART);
    List<DispatchEffect> effects = fixture.apply(new DispatchEvent.RestrictionLifted(part));
    assertTrue(
        effects.contains(new DispatchEffect.StandingChanged(part, Standing.CLEAR, 0, "operator")));
    fixture.send("/chat/x", work(DEADLY_PART));
  }
}
