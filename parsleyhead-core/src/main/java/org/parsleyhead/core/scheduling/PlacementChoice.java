package org.parsleyhead.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Chooses the engine on which to request the next pin for an adapter.
 *
 * <p>Immutable and thread-safe. An adapter gets another engine only if all engines on which it is
 * pinned are full and the other engine is not.
 */
final class PlacementChoice {

  private static final double FULL_LOAD = 1;

  private final SchedulingSettings settings;
  private final SchedulingPolicy policy;

  PlacementChoice(SchedulingSettings settings, SchedulingPolicy policy) {
    this.settings = settings;
    this.policy = policy;
  }

  /** Returns the engine to request a pin on, if one is needed and available. */
  Optional<UpstreamName> nextEngine(
      SchedulingState state, AdapterReference adapter, AdapterView view, MonotonicTime time) {
    ModelRequest first = view.queue().firstEntry().getValue().request();
    List<EngineView> pinned = pinned(state, view, first, time);
    boolean alreadyPinned = !pinned.isEmpty();
    if (alreadyPinned && !needsAnotherEngine(state, view, pinned, time)) {
      return Optional.empty();
    }
    return policy.placementOrder().order(adapter, candidates(state, first, time)).stream()
        .sorted(Comparator.comparing(candidate -> !isResident(state, candidate, adapter)))
        .filter(candidate -> !alreadyPinned || candidate.load() < FULL_LOAD)
        .map(EngineChoice.Candidate::name)
        .filter(name -> mayRequestPin(view, name, time))
        .findFirst();
  }

  private boolean needsAnotherEngine(
      SchedulingState state, AdapterView view, List<EngineView> pinned, MonotonicTime time) {
    boolean delayElapsed = !time.isBefore(view.waitingSince().plus(settings.spreadDelay()));
    boolean allFull =
        pinned.stream().noneMatch(engine -> engine.hasRoom(state.hostCount(), settings, time));
    return delayElapsed && allFull && pinned.size() < policy.maximumCopies();
  }

  private static List<EngineView> pinned(
      SchedulingState state, AdapterView view, ModelRequest first, MonotonicTime time) {
    List<EngineView> pinned = new ArrayList<>();
    for (var placed : view.placements().entrySet()) {
      EngineView engine = state.engines().get(placed.getKey());
      if (engine != null
          && placed.getValue().isPinned(time)
          && engine.isAvailable(time)
          && !first.excluded().contains(engine.name())) {
        pinned.add(engine);
      }
    }
    return pinned;
  }

  private static List<EngineChoice.Candidate> candidates(
      SchedulingState state, ModelRequest first, MonotonicTime time) {
    List<EngineChoice.Candidate> candidates = new ArrayList<>();
    for (EngineView engine : state.engines().values()) {
      if (engine.isAvailable(time)
          && RequestQueues.serves(engine, first)
          && !first.excluded().contains(engine.name())) {
        candidates.add(
            new EngineChoice.Candidate(engine.name(), engine.load(time), engine.outstanding()));
      }
    }
    return candidates;
  }

  private static boolean isResident(
      SchedulingState state, EngineChoice.Candidate candidate, AdapterReference adapter) {
    return state.engines().get(candidate.name()).resident().contains(adapter);
  }

  private static boolean mayRequestPin(AdapterView view, UpstreamName name, MonotonicTime time) {
    Placement placement = view.placement(name, time);
    return !placement.isPinned(time) && !placement.pending() && !time.isBefore(placement.retryAt());
  }
}
