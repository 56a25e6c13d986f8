package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Frees a slot on a full engine: selects an adapter to evict, or recalls the pins on one.
 *
 * <p>Immutable and thread-safe.
 */
final class SlotReclaimer {

  private static final Duration NO_SLOT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RECALL_DURATION = Duration.ofSeconds(5);
  private static final Duration NO_SLOT_RETRY_DELAY = Duration.ofSeconds(1);

  private final OwnershipSettings settings;
  private final OwnershipRights rights;
  private final PinAllocator pins;
  private final EvictionPolicy evictionPolicy;

  SlotReclaimer(
      OwnershipSettings settings,
      OwnershipRights rights,
      PinAllocator pins,
      EvictionPolicy evictionPolicy) {
    this.settings = settings;
    this.rights = rights;
    this.pins = pins;
    this.evictionPolicy = evictionPolicy;
  }

  /** Returns the adapter to evict; empty if none may be evicted now. */
  Optional<EvictionPolicy.Candidate> evictable(
      OwnershipState state, OwnedEngine engine, MonotonicTime time) {
    return rights.mayEvict(engine, state.rightsSnapshot(), time)
        ? evictionPolicy.choose(candidates(engine, time))
        : Optional.empty();
  }

  private List<EvictionPolicy.Candidate> candidates(OwnedEngine engine, MonotonicTime time) {
    return engine.residency().resident().stream()
        .filter(adapter -> rights.isUnused(engine, adapter, time))
        .map(adapter -> candidate(engine, adapter, time))
        .toList();
  }

  private EvictionPolicy.Candidate candidate(
      OwnedEngine engine, AdapterReference adapter, MonotonicTime time) {
    DecayedCount uses = engine.uses().get(adapter);
    return new EvictionPolicy.Candidate(
        adapter,
        engine.expectedReuse(adapter, time, settings.reuseHalfLife()),
        uses == null ? MonotonicTime.ORIGIN : uses.lastUse());
  }

  /**
   * Recalls the pins on an idle adapter whose expected reuse is lower than the number of requests
   * that wait for the wanted one, unless a slot is being freed already. Refuses the waiting hosts
   * after a timeout, so that they try another engine.
   */
  Step<OwnershipState, EngineEffect> recallOrRefuse(
      OwnershipState state, OwnedEngine engine, AdapterReference wanted, MonotonicTime time) {
    Demand demand = engine.demand(wanted, time);
    if (!time.isBefore(demand.waitingSince().plus(NO_SLOT_TIMEOUT))) {
      List<EngineEffect> refusals =
          pins.refuseWaiters(engine, wanted, PinRefusal.Reason.NO_SLOT, NO_SLOT_RETRY_DELAY, time);
      return state.with(engine.withDemands(engine.demands().minus(wanted))).step(refusals);
    }
    boolean freeing =
        engine.residency().resident().stream()
            .anyMatch(
                adapter ->
                    engine.isRecalled(adapter, time) || !engine.pins().isPinned(adapter, time));
    return freeing || !rights.mayEvict(engine, state.rightsSnapshot(), time)
        ? Step.of(state)
        : recall(state, engine, wanted, time);
  }

  private Step<OwnershipState, EngineEffect> recall(
      OwnershipState state, OwnedEngine engine, AdapterReference wanted, MonotonicTime time) {
    List<EvictionPolicy.Candidate> idle =
        engine.residency().resident().stream()
            .filter(adapter -> !engine.residency().active().contains(adapter))
            .map(adapter -> candidate(engine, adapter, time))
            .toList();
    Optional<EvictionPolicy.Candidate> victim =
        evictionPolicy
            .choose(idle)
            .filter(
                candidate ->
                    candidate.expectedReuse() < engine.demand(wanted, time).waitingRequests());
    if (victim.isEmpty()) {
      return Step.of(state);
    }
    AdapterReference adapter = victim.get().adapter();
    PinRecall message = new PinRecall(engine.name(), adapter);
    List<EngineEffect> effects = new ArrayList<>();
    for (HostName holder : engine.pins().holders(adapter)) {
      effects.add(new EngineEffect.Send(holder, message));
    }
    OwnedEngine recalled =
        engine.withRecalled(engine.recalledUntil().plus(adapter, time.plus(RECALL_DURATION)));
    return state.with(recalled).step(effects);
  }
}
