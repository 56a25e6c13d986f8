package org.parsleyhead.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.ServiceMode;

@DisplayName("An engine")
class EngineCoreTests {

  private final FakeEngine engine = new FakeEngine(EngineSettingsFixture.settings(true, 0));

  @Nested
  @DisplayName("that runs completions")
  class Batching {

    @Test
    @DisplayName("generates one token for each request in each step")
    void generatesTokens() {
      engine.submit(1, "base", 2, 0, 0);
      engine.submit(2, "base", 3, 0, 0);
      engine.runUntilIdle();
      assertEquals(List.of(0, 1), engine.tokensOf(1));
      assertEquals(List.of(0, 1, 2), engine.tokensOf(2));
      assertEquals(1, engine.count(new EngineEffect.Finished(2, 3, false)));
    }

    @Test
    @DisplayName("needs more time for a step with more requests or more adapters")
    void stepsGrow() {
      engine.load(90, "a@1", Optional.empty());
      engine.load(91, "b@1", Optional.empty());
      engine.submit(1, "a@1", 9, 0, 0);
      Duration alone = engine.steadyStepDuration();
      engine.submit(2, "a@1", 9, 0, 0);
      Duration sameAdapter = engine.steadyStepDuration();
      engine.submit(3, "b@1", 9, 0, 0);
      Duration otherAdapter = engine.steadyStepDuration();
      assertEquals(Duration.ofMillis(1), sameAdapter.minus(alone));
      assertEquals(Duration.ofMillis(3), otherAdapter.minus(sameAdapter));
    }

    @Test
    @DisplayName("queues requests beyond its maximum batch, lower priority values first")
    void queues() {
      engine.submit(1, "base", 4, 0, 0);
      engine.submit(2, "base", 4, 0, 0);
      engine.submit(5, "base", 4, 0, 0);
      engine.submit(3, "base", 1, 5, 0);
      engine.submit(4, "base", 1, 1, 0);
      engine.runUntilIdle();
      List<Long> finished = engine.finished();
      assertTrue(finished.indexOf(4L) < finished.indexOf(3L));
      assertTrue(finished.indexOf(2L) < finished.indexOf(4L));
    }

    @Test
    @DisplayName("resumes after the tokens that the caller already has")
    void resumes() {
      engine.submit(1, "base", 5, 0, 3);
      engine.runUntilIdle();
      assertEquals(List.of(3, 4), engine.tokensOf(1));
    }

    @Test
    @DisplayName("cancels the request of a caller that closed its connection")
    void cancels() {
      engine.submit(1, "base", 5, 0, 0);
      engine.step();
      engine.apply(new EngineEvent.ConnectionClosed(1));
      engine.runUntilIdle();
      assertEquals(List.of(0), engine.tokensOf(1));
      assertEquals(1, engine.count(new EngineEffect.Cancelled(1, 1, false)));
    }

    @Test
    @DisplayName("needs less time to prefill a cached prefix")
    void cachesPrefixes() {
      String prompt = "x".repeat(640);
      engine.submit(1, "base", 1, 0, 0, prompt);
      final Duration first = engine.lastStepDuration();
      engine.runUntilIdle();
      engine.submit(2, "base", 1, 0, 0, prompt);
      assertTrue(engine.lastStepDuration().compareTo(first) < 0);
    }

    @Test
    @DisplayName("resets the connection halfway through a completion in the mode resetting")
    void resets() {
      engine.apply(
          new EngineEvent.ModeChanged(new ModeChange(ServiceMode.RESETTING, Duration.ZERO)));
      engine.submit(1, "base", 6, 0, 0);
      engine.runUntilIdle();
      assertEquals(List.of(0, 1, 2), engine.tokensOf(1));
      assertEquals(1, engine.count(new EngineEffect.Cancelled(1, 3, true)));
    }
  }

  @Nested
  @DisplayName("that loads and unloads adapters")
  class Orders {

    @Test
    @DisplayName("refuses a request for an adapter that is not resident")
    void refusesUnknownAdapter() {
      engine.submit(1, "a@1", 5, 0, 0);
      engine.runUntilIdle();
      assertEquals(List.of(), engine.tokensOf(1));
      assertEquals(404, engine.lastRefusal().status());
    }

    @Test
    @DisplayName("refuses a load while all slots are taken and evicts no adapter")
    void refusesWithoutSlot() {
      engine.load(1, "a@1", Optional.empty());
      engine.load(2, "b@1", Optional.empty());
      engine.load(3, "c@1", Optional.empty());
      assertEquals(409, engine.lastRefusal().status());
      assertTrue(engine.state.isResident("a@1") && engine.state.isResident("b@1"));
    }

    @Test
    @DisplayName("reports a violation when an adapter in use is unloaded")
    void reportsViolation() {
      engine.load(1, "a@1", Optional.empty());
      engine.submit(2, "a@1", 5, 0, 0);
      engine.apply(new EngineEvent.Unload(3, "a@1", Optional.empty()));
      assertEquals(
          1,
          engine.count(new EngineEffect.Violation("unload_while_serving", "a@1", Optional.of(3L))));
    }

    @Test
    @DisplayName("refuses a stale fencing number if fencing is checked")
    void checksFencing() {
      engine.load(1, "a@1", Optional.of(7L));
      engine.apply(new EngineEvent.Unload(2, "a@1", Optional.of(6L)));
      assertEquals("fenced", engine.lastRefusal().type());
      assertTrue(engine.state.isResident("a@1"));
    }

    @Test
    @DisplayName("accepts a stale fencing number if fencing is not checked")
    void ignoresFencing() {
      FakeEngine unfenced = new FakeEngine(EngineSettingsFixture.settings(false, 0));
      unfenced.load(1, "a@1", Optional.of(7L));
      unfenced.apply(new EngineEvent.Unload(2, "a@1", Optional.of(6L)));
      assertFalse(unfenced.state.isResident("a@1"));
    }

    @Test
    @DisplayName("frees the slot of a failed load")
    void loadFails() {
      FakeEngine failing = new FakeEngine(EngineSettingsFixture.settings(true, 1));
      failing.load(1, "a@1", Optional.empty());
      assertEquals("load_failed", failing.lastRefusal().type());
      assertTrue(failing.state.adapters().isEmpty());
    }

    @Test
    @DisplayName("has no adapters and runs slow steps after a restart")
    void restartsCold() {
      engine.load(1, "a@1", Optional.empty());
      engine.submit(2, "a@1", 9, 0, 0);
      final Duration warm = engine.steadyStepDuration();
      engine.apply(new EngineEvent.Restart());
      assertTrue(engine.state.adapters().isEmpty());
      assertEquals(1, engine.count(new EngineEffect.Cancelled(2, 2, true)));
      engine.load(3, "a@1", Optional.empty());
      engine.submit(4, "a@1", 9, 0, 0);
      assertTrue(engine.steadyStepDuration().compareTo(warm) > 0);
    }
  }

  @Test
  @DisplayName("reports its load with a lag")
  void reportsWithLag() {
    engine.tick();
    engine.submit(1, "base", 50, 0, 0);
    engine.tick();
    assertEquals(0, LoadReports.reported(engine.state).running());
    engine.advanceClock(Duration.ofMillis(200));
    engine.tick();
    assertEquals(1, LoadReports.reported(engine.state).running());
  }

  /** Drives an engine core with a manual clock; the weights of an adapter are available at once. */
  private static final class FakeEngine {

    private final EngineCore core;
    private EngineState state;
    private MonotonicTime now = MonotonicTime.ORIGIN;
    private final List<EngineEffect> effects = new ArrayList<>();

    FakeEngine(EngineSettings settings) {
      core = new EngineCore(settings);
      state =
          EngineState.initial(settings)
              .withStep(Optional.empty(), PrefixCache.empty(settings.limits().prefixBlocks()), 0);
    }

    void apply(EngineEvent event) {
      Step<EngineState, EngineEffect> step = core.apply(state, event, now);
      state = step.state();
      effects.addAll(step.effects());
    }

    void submit(long exchange, String model, int tokens, int priority, int resumeFrom) {
      submit(exchange, model, tokens, priority, resumeFrom, "prompt " + exchange);
    }

    void submit(
        long exchange, String model, int tokens, int priority, int resumeFrom, String prompt) {
      List<Long> blocks = new ArrayList<>();
      for (long block = 0; block < prompt.length() / 64; block++) {
        blocks.add(block);
      }
      apply(
          new EngineEvent.Submit(
              exchange,
              new CompletionRequest(
                  model,
                  false,
                  prompt,
                  TokenSequence.promptTokens(prompt),
                  blocks,
                  tokens,
                  true,
                  false,
                  priority,
                  resumeFrom)));
    }

    void load(long exchange, String adapter, Optional<Long> fencingNumber) {
      apply(new EngineEvent.Load(exchange, adapter, "path", fencingNumber));
      apply(new EngineEvent.WeightsFetched(adapter, FetchOutcome.SUCCEEDED));
    }

    void advanceClock(Duration duration) {
      now = now.plus(duration);
    }

    void tick() {
      apply(new EngineEvent.Tick());
    }

    void step() {
      now = state.stepEnd().orElse(now);
      apply(new EngineEvent.StepDue());
    }

    Duration steadyStepDuration() {
      step();
      step();
      return lastStepDuration();
    }

    void runUntilIdle() {
      while (state.stepEnd().isPresent()) {
        step();
      }
    }

    Duration lastStepDuration() {
      return last(EngineEffect.ScheduleStep.class).delay();
    }

    EngineEffect.Refuse lastRefusal() {
      return last(EngineEffect.Refuse.class);
    }

    private <T> T last(Class<T> type) {
      List<T> found = effects.stream().filter(type::isInstance).map(type::cast).toList();
      return assertInstanceOf(type, found.get(found.size() - 1));
    }

    List<Integer> tokensOf(long exchange) {
      return effects.stream()
          .filter(EngineEffect.Token.class::isInstance)
          .map(EngineEffect.Token.class::cast)
          .filter(token -> token.exchange() == exchange)
          .map(EngineEffect.Token::number)
          .toList();
    }

    List<Long> finished() {
      return effects.stream()
          .filter(EngineEffect.Finished.class::isInstance)
          .map(effect -> ((EngineEffect.Finished) effect).exchange())
          .toList();
    }

    long count(EngineEffect effect) {
      return effects.stream().filter(effect::equals).count();
    }
  }
}
