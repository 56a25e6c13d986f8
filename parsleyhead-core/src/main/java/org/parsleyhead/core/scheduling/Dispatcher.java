package org.parsleyhead.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Dispatches waiting requests to engines that hold their adapter and have room.
 *
 * <p>Immutable and thread-safe. A request is dispatched only to an engine on which its adapter is
 * pinned at that time, so that it never waits for the load of another adapter.
 */
final class Dispatcher {

  private final SchedulingSettings settings;
  private final SchedulingPolicy policy;

  Dispatcher(SchedulingSettings settings, SchedulingPolicy policy) {
    this.settings = settings;
    this.policy = policy;
  }

  /** Dispatches waiting requests of one adapter while an engine that holds it has room. */
  Step<SchedulingState, SchedulingEffect> dispatchAdapter(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    while (true) {
      AdapterView view = step.state().adapter(adapter, time);
      if (view.queue().isEmpty()) {
        return step;
      }
      List<EngineChoice.Candidate> candidates = candidates(step.state(), adapter, view, time);
      if (candidates.isEmpty()) {
        return step;
      }
      ModelRequest request = view.queue().firstEntry().getValue().request();
      EngineChoice.Candidate chosen =
          policy
              .engineChoice()
              .choose(
                  candidates,
                  step.state().prefixAffinity().holder(request.prefixHash()),
                  Rendezvous.hash(request.identifier().text()));
      step = step.andThen(next -> dispatchFirst(next, chosen.name(), time));
    }
  }

  /** Dispatches waiting requests to one engine while it has room. */
  Step<SchedulingState, SchedulingEffect> dispatchToEngine(
      SchedulingState state, UpstreamName name, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    while (true) {
      EngineView engine = step.state().engines().get(name);
      if (engine == null
          || engine.ready().isEmpty()
          || !engine.hasRoom(state.hostCount(), settings, time)) {
        return step;
      }
      step = step.andThen(next -> dispatchFirst(next, name, time));
    }
  }

  private List<EngineChoice.Candidate> candidates(
      SchedulingState state, AdapterReference adapter, AdapterView view, MonotonicTime time) {
    List<EngineChoice.Candidate> candidates = new ArrayList<>();
    for (Map.Entry<UpstreamName, Placement> entry : view.placements().entrySet()) {
      EngineView engine = state.engines().get(entry.getKey());
      boolean ready = entry.getValue().isPinned(time) && entry.getValue().ready().isPresent();
      if (engine != null && ready && engine.hasRoom(state.hostCount(), settings, time)) {
        candidates.add(
            new EngineChoice.Candidate(engine.name(), engine.load(time), engine.outstanding()));
      }
    }
    return candidates.size() < 2 ? candidates : policy.placementOrder().order(adapter, candidates);
  }

  /**
   * Dispatches the first request of an engine's ready set, or removes the entry if its pin has
   * expired.
   */
  private Step<SchedulingState, SchedulingEffect> dispatchFirst(
      SchedulingState state, UpstreamName name, MonotonicTime time) {
    EngineView engine = state.engines().get(name);
    AdapterReference adapter = engine.ready().first().adapter();
    AdapterView view = state.adapter(adapter, time);
    Placement placement = view.placement(name, time);
    if (!placement.isPinned(time)) {
      return Step.of(ReadySets.refresh(state, adapter, time));
    }
    WaitingRequest waiting = view.firstFor(name).orElseThrow();
    ModelRequest request = waiting.request();
    SchedulingState next =
        state
            .with(adapter, view.dequeue(waiting.key()).with(name, placement.started(time)))
            .with(engine.started(time))
            .withWaiting(state.waiting().minus(request.identifier()))
            .withDeadlines(state.deadlines().minus(DeadlineKey.of(waiting)))
            .withRunning(
                state.running().plus(request.identifier(), new RunningRequest(request, name, time)))
            .withShares(state.shares().dispatch(waiting))
            .withPrefixAffinity(state.prefixAffinity().withHolder(request.prefixHash(), name));
    return Step.of(
        ReadySets.refresh(next, adapter, time),
        new SchedulingEffect.Dispatch(request, name, placement.pinnedUntil().orElseThrow()));
  }
}
