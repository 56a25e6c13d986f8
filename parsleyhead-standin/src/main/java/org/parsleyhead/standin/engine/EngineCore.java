package org.parsleyhead.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.standin.ServiceMode;

/**
 * The state transitions of an engine: admission and cancellation of requests, adapter orders, modes
 * and restarts.
 *
 * <p>Immutable and thread-safe. A refused request has generated no tokens. The queue is ordered by
 * priority, then by arrival.
 */
final class EngineCore implements Transition<EngineState, EngineEvent, EngineEffect> {

  private static final Comparator<Sequence> QUEUE_ORDER =
      Comparator.<Sequence>comparingInt(sequence -> sequence.request().priority())
          .thenComparingLong(Sequence::arrivalNumber);

  private final EngineSettings settings;
  private final BatchScheduler scheduler;
  private final AdapterOrderRules orderRules;
  private final LoadReports reports;

  EngineCore(EngineSettings settings) {
    this.settings = settings;
    this.scheduler = new BatchScheduler(settings);
    this.orderRules = new AdapterOrderRules(settings);
    this.reports = new LoadReports(settings);
  }

  @Override
  public Step<EngineState, EngineEffect> apply(
      EngineState state, EngineEvent event, MonotonicTime time) {
    if (event instanceof EngineEvent.Submit submit) {
      return submit(state, submit, time);
    }
    if (event instanceof EngineEvent.ConnectionClosed closed) {
      return cancel(state, closed.exchange());
    }
    if (event instanceof EngineEvent.Load load) {
      return isUnavailable(state)
          ? refuseUnavailable(state, load.exchange())
          : orderRules.load(state, load);
    }
    if (event instanceof EngineEvent.Unload unload) {
      return isUnavailable(state)
          ? refuseUnavailable(state, unload.exchange())
          : orderRules.unload(state, unload);
    }
    if (event instanceof EngineEvent.WeightsFetched weights) {
      return orderRules.completeFetch(state, weights);
    }
    if (event instanceof EngineEvent.ModeChanged mode) {
      return Step.of(state.withMode(mode.change()));
    }
    if (event instanceof EngineEvent.Restart) {
      return restart(state);
    }
    if (event instanceof EngineEvent.Tick) {
      return scheduler.advance(reports.addSample(state, time), time);
    }
    return scheduler.advance(state, time);
  }

  /** Returns the refusal of a request for a model that is not available. */
  static EngineEffect unknownModelRefusal(long exchange, String model) {
    return new EngineEffect.Refuse(
        exchange,
        404,
        "NotFoundError",
        "The model `" + model + "` does not exist.",
        Optional.empty());
  }

  private Step<EngineState, EngineEffect> submit(
      EngineState state, EngineEvent.Submit submit, MonotonicTime time) {
    CompletionRequest request = submit.request();
    if (isUnavailable(state)) {
      return refuseUnavailable(state, submit.exchange());
    }
    if (!request.model().equals(settings.baseModel()) && !state.isResident(request.model())) {
      return Step.of(state, unknownModelRefusal(submit.exchange(), request.model()));
    }
    int target =
        Math.min(
            request.maximumTokens(),
            request.tokens().naturalLength(settings.faults().naturalLength()));
    if (request.resumeFrom() >= target) {
      return Step.of(
          state,
          new EngineEffect.Finished(submit.exchange(), target, target < request.maximumTokens()));
    }
    Sequence sequence =
        new Sequence(
            submit.exchange(), state.totals().arrivals(), request, target, request.resumeFrom());
    List<Sequence> waiting = new ArrayList<>(state.waiting());
    waiting.add(sequence);
    waiting.sort(QUEUE_ORDER);
    EngineState queued =
        state.withSequences(state.running(), waiting).withTotals(state.totals().withArrival());
    return state.stepEnd().isPresent() ? Step.of(queued) : scheduler.advance(queued, time);
  }

  private static Step<EngineState, EngineEffect> cancel(EngineState state, long exchange) {
    return new Step<>(
        state.withSequences(without(state.running(), exchange), without(state.waiting(), exchange)),
        removalEffects(state, sequence -> sequence.exchange() == exchange, false));
  }

  private static List<EngineEffect> removalEffects(
      EngineState state, Predicate<Sequence> removed, boolean resetsConnection) {
    List<EngineEffect> effects = new ArrayList<>();
    state.running().stream()
        .filter(removed)
        .map(
            sequence ->
                new EngineEffect.Cancelled(
                    sequence.exchange(), sequence.nextToken(), resetsConnection))
        .forEach(effects::add);
    state.waiting().stream()
        .filter(removed)
        .map(sequence -> new EngineEffect.Withdrawn(sequence.exchange(), resetsConnection))
        .forEach(effects::add);
    return effects;
  }

  private static List<Sequence> without(List<Sequence> sequences, long exchange) {
    return sequences.stream().filter(sequence -> sequence.exchange() != exchange).toList();
  }

  private Step<EngineState, EngineEffect> restart(EngineState state) {
    EngineState restarted =
        EngineState.initial(settings).withMode(state.mode()).withTotals(state.totals());
    return new Step<>(restarted, removalEffects(state, sequence -> true, true));
  }

  private static boolean isUnavailable(EngineState state) {
    ServiceMode mode = state.mode().mode();
    return mode == ServiceMode.UNAVAILABLE || mode == ServiceMode.FAILING;
  }

  private static Step<EngineState, EngineEffect> refuseUnavailable(
      EngineState state, long exchange) {
    int status = state.mode().mode() == ServiceMode.FAILING ? 500 : 503;
    return Step.of(
        state,
        new EngineEffect.Refuse(
            exchange, status, "unavailable", "The engine is not available.", Optional.empty()));
  }
}
