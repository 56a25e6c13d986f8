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
 * Finds a slot on a full engine: an adapter that may be evicted, or one whose pins are recalled.
 *
 * <p>Immutable and thread-safe.
 */
final class SlotRecall {

  private static final Duration NO_SLOT_PATIENCE = Duration.ofSeconds(2);
  private static final Duration RECALL_DURATION = Duration.ofSeconds(5);
  private static final Duration RETRY_NO_SLOT = Duration.ofSeconds(1);

  private final OwnershipSettings settings;
  private final OwnershipRights rights;
  private final PinDesk pins;
  private final VictimChoice victims;

  SlotRecall(
      OwnershipSettings settings, OwnershipRights rights, PinDesk pins, VictimChoice victims) {
    this.settings = settings;
    this.rights = rights;
    this.pins = pins;
    this.victims = victims;
  }

  /** Returns the adapter to evict, if one may be evicted now. */
  Optional<VictimChoice.Candidate> evictable(
      OwnershipState state, OwnedEngine engine, MonotonicTime time) {
    return rights.mayEvictAnything(engine, state.standing(), time)
        ? victims.choose(candidates(engine, time))
        : Optional.empty();
  }

  private List<VictimChoice.Candidate> candidates(OwnedEngine engine, MonotonicTime time) {
    return engine.residency().resident().stream()
        .filter(adapter -> rights.isUnused(engine, adapter, time))
        .map(adapter -> candidate(engine, adapter, time))
        .toList();
  }

  private VictimChoice.Candidate candidate(
      OwnedEngine engine, AdapterReference adapter, MonotonicTime time) {
    DecayedRate rate = engine.uses().get(adapter);
    return new VictimChoice.Candidate(
        adapter,
        engine.expectedReuse(adapter, time, settings.reuseHalfLife()),
        rate == null ? MonotonicTime.ORIGIN : rate.lastUse());
  }

  /** Asks for a slot back, or lets the hosts try another engine if that takes too long. */
  Step<OwnershipState, EngineEffect> recallOrRefuse(
      OwnershipState state, OwnedEngine engine, AdapterReference wanted, MonotonicTime time) {
    Demand demand = engine.demand(wanted, time);
    if (!time.isBefore(demand.since().plus(NO_SLOT_PATIENCE))) {
      List<EngineEffect> refusals =
          pins.refuseWaiters(engine, wanted, PinRefusal.Reason.NO_SLOT, RETRY_NO_SLOT, time);
      return state.with(engine.withDemands(engine.demands().minus(wanted))).step(refusals);
    }
    boolean freeing =
        engine.residency().resident().stream()
            .anyMatch(
                adapter ->
                    engine.isRecalled(adapter, time) || !engine.pins().isPinned(adapter, time));
    return freeing || !rights.mayEvictAnything(engine, state.standing(), time)
        ? Step.of(state)
        : recall(state, engine, wanted, time);
  }

  private Step<OwnershipState, EngineEffect> recall(
      OwnershipState state, OwnedEngine engine, AdapterReference wanted, MonotonicTime time) {
    List<VictimChoice.Candidate> idle =
        engine.residency().resident().stream()
            .filter(adapter -> !engine.residency().active().contains(adapter))
            .map(adapter -> candidate(engine, adapter, time))
            .toList();
    Optional<VictimChoice.Candidate> victim =
        victims
            .choose(idle)
            .filter(found -> found.expectedReuse() < engine.demand(wanted, time).requests());
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
