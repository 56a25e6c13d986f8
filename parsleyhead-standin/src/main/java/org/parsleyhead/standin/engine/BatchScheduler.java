package org.parsleyhead.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.standin.ServiceMode;

/**
 * Schedules the steps of continuous batching: requests are added to the batch between steps, and
 * each step generates one token for every request in the batch.
 *
 * <p>Immutable and thread-safe. The batch never exceeds its limit, and a request is added only
 * while its adapter is resident.
 */
final class BatchScheduler {

  private static final int TOKENS_PER_BLOCK = CompletionReader.PREFIX_BLOCK_CHARACTERS / 4;

  private final EngineSettings settings;

  BatchScheduler(EngineSettings settings) {
    this.settings = settings;
  }

  /** Finishes the current step once its end has passed and starts the next one if there is work. */
  Step<EngineState, EngineEffect> advance(EngineState state, MonotonicTime time) {
    if (state.mode().mode() == ServiceMode.SILENT) {
      return Step.of(state);
    }
    if (state.stepEnd().isEmpty()) {
      return startStep(state, time);
    }
    if (time.isBefore(state.stepEnd().get())) {
      return Step.of(state);
    }
    Step<EngineState, EngineEffect> finished = finishStep(state);
    Step<EngineState, EngineEffect> started = startStep(finished.state(), time);
    return new Step<>(started.state(), finished.effects()).with(started.effects());
  }

  private Step<EngineState, EngineEffect> finishStep(EngineState state) {
    List<Sequence> running = new ArrayList<>();
    List<EngineEffect> effects = new ArrayList<>();
    for (Sequence sequence : state.running()) {
      effects.add(new EngineEffect.Token(sequence.exchange(), sequence.nextToken()));
      Sequence advanced = sequence.withNextToken();
      if (advanced.isFinished()) {
        boolean endsNaturally = advanced.targetLength() < advanced.request().maximumTokens();
        effects.add(
            new EngineEffect.Finished(advanced.exchange(), advanced.targetLength(), endsNaturally));
      } else if (isResetDue(state, advanced)) {
        effects.add(new EngineEffect.Cancelled(advanced.exchange(), advanced.nextToken(), true));
      } else {
        running.add(advanced);
      }
    }
    EngineState next =
        state
            .withSequences(running, state.waiting())
            .withStep(Optional.empty(), state.prefixCache(), Math.max(0, state.coldStepsLeft() - 1))
            .withTotals(state.totals().withStep(state.running().size()));
    return new Step<>(next, effects);
  }

  private static boolean isResetDue(EngineState state, Sequence sequence) {
    return state.mode().mode() == ServiceMode.RESETTING
        && 2 * sequence.generatedTokens()
            >= sequence.targetLength() - sequence.request().resumeFrom();
  }

  private Step<EngineState, EngineEffect> startStep(EngineState state, MonotonicTime time) {
    List<Sequence> running = new ArrayList<>(state.running());
    List<Sequence> waiting = new ArrayList<>();
    List<EngineEffect> effects = new ArrayList<>();
    PrefixCache cache = state.prefixCache();
    long prefillTokens = 0;
    for (Sequence sequence : state.waiting()) {
      CompletionRequest request = sequence.request();
      if (running.size() >= settings.limits().maximumBatch()) {
        waiting.add(sequence);
      } else if (!canServe(state, request.model())) {
        effects.add(EngineCore.unknownModelRefusal(sequence.exchange(), request.model()));
      } else {
        prefillTokens += uncachedTokens(cache, request);
        cache = cache.afterUse(request.prefixBlocks());
        running.add(sequence);
        effects.add(new EngineEffect.JoinedBatch(sequence.exchange()));
      }
    }
    EngineState admitted = state.withSequences(running, waiting);
    if (running.isEmpty()) {
      return new Step<>(admitted.withStep(Optional.empty(), cache, state.coldStepsLeft()), effects);
    }
    Duration duration = stepDuration(admitted, prefillTokens);
    effects.add(new EngineEffect.ScheduleStep(duration));
    return new Step<>(
        admitted.withStep(Optional.of(time.plus(duration)), cache, state.coldStepsLeft()), effects);
  }

  private boolean canServe(EngineState state, String model) {
    return model.equals(settings.baseModel()) || state.isResident(model);
  }

  private static long uncachedTokens(PrefixCache cache, CompletionRequest request) {
    long cached = (long) cache.hits(request.prefixBlocks()) * TOKENS_PER_BLOCK;
    return Math.max(1, request.promptTokens() + request.resumeFrom() - cached);
  }

  /** Returns the duration of a step of the running batch with some uncached prompt tokens. */
  Duration stepDuration(EngineState state, long prefillTokens) {
    EngineSettings.Timing timing = settings.timing();
    long adapters =
        state.running().stream()
            .map(sequence -> sequence.request().model())
            .filter(model -> !model.equals(settings.baseModel()))
            .distinct()
            .count();
    Duration duration =
        timing
            .base()
            .plus(timing.perRequest().multipliedBy(state.running().size()))
            .plus(timing.perAdapter().multipliedBy(adapters))
            .plus(timing.perPrefillToken().multipliedBy(prefillTokens));
    if (state.coldStepsLeft() > 0) {
      duration = Duration.ofNanos((long) (duration.toNanos() * settings.faults().coldFactor()));
    }
    return duration.plus(state.mode().responseDelay());
  }
}
