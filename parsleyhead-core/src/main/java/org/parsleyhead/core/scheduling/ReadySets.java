package org.parsleyhead.core.scheduling;

import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Keeps the engines' ready sets in step with the queues and the pins.
 *
 * <p>Stateless and thread-safe. An adapter stands in the ready set of an engine if and only if it
 * is pinned there and a waiting request may go there.
 */
final class ReadySets {

  private ReadySets() {}

  /** Returns the state with an adapter's entries brought up to date on all its engines. */
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
    Optional<QueueKey> wanted =
        engine != null && placement.isPinned(time)
            ? view.firstFor(name).map(WaitingRequest::key)
            : Optional.empty();
    if (wanted.equals(placement.ready())) {
      return state;
    }
    SchedulingState changed = state.with(adapter, view.with(name, placement.withReady(wanted)));
    return engine == null ? changed : replace(changed, engine, adapter, placement.ready(), wanted);
  }

  private static SchedulingState replace(
      SchedulingState state,
      EngineView engine,
      AdapterReference adapter,
      Optional<QueueKey> former,
      Optional<QueueKey> wanted) {
    var ready = engine.ready();
    if (former.isPresent()) {
      ready = ready.minus(new ReadyKey(former.get(), adapter));
    }
    if (wanted.isPresent()) {
      ready = ready.plus(new ReadyKey(wanted.get(), adapter));
    }
    int change = ready.size() - engine.ready().size();
    return state.with(engine.withReady(ready)).withReadyEntries(state.readyEntries() + change);
  }
}
