package org.parsleyhead.core.scheduling;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Keeps the ready sets of the engines consistent with the queues and the pins.
 *
 * <p>Stateless and thread-safe. An adapter has an entry in the ready set of an engine if and only
 * if it is pinned on the engine and one of its waiting requests may be dispatched to it. Entries of
 * expired pins are removed when they are next refreshed.
 */
final class ReadySets {

  private ReadySets() {}

  /** Returns the state with the entries of an adapter updated on all its engines. */
  static SchedulingState refresh(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    SchedulingState current = state;
    for (UpstreamName engine : state.adapter(adapter, time).placements().keySet()) {
      current = refresh(current, adapter, engine, time);
    }
    return current;
  }

  private static SchedulingState refresh(
      SchedulingState state, AdapterReference adapter, UpstreamName name, MonotonicTime time) {
    AdapterView view = state.adapter(adapter, time);
    Placement placement = view.placement(name, time);
    EngineView engine = state.engines().get(name);
    Optional<QueueKey> required =
        engine != null && placement.isPinned(time)
            ? view.firstFor(name).map(WaitingRequest::key)
            : Optional.empty();
    if (required.equals(placement.ready())) {
      return state;
    }
    SchedulingState changed = state.with(adapter, view.with(name, placement.withReady(required)));
    return engine == null
        ? changed
        : replace(changed, engine, adapter, placement.ready(), required);
  }

  private static SchedulingState replace(
      SchedulingState state,
      EngineView engine,
      AdapterReference adapter,
      Optional<QueueKey> previous,
      Optional<QueueKey> required) {
    var ready = engine.ready();
    if (previous.isPresent()) {
      ready = ready.minus(new ReadyKey(previous.get(), adapter));
    }
    if (required.isPresent()) {
      ready = ready.plus(new ReadyKey(required.get(), adapter));
    }
    int change = ready.size() - engine.ready().size();
    return state.with(engine.withReady(ready)).withReadyEntries(state.readyEntries() + change);
  }
}
