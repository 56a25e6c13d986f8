package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.PMap;

/**
 * Removes state of owned engines that has no effect any longer.
 *
 * <p>Immutable and thread-safe.
 */
final class EngineExpiry {

  private static final Duration WAITER_LIFETIME = Duration.ofSeconds(4);
  private static final Duration LISTENER_LIFETIME = Duration.ofSeconds(60);
  private static final double SMALLEST_REUSE = 0.01;

  private final OwnershipSettings settings;

  EngineExpiry(OwnershipSettings settings) {
    this.settings = settings;
  }

  /** Forgets pins, waiting hosts, recalls, listeners and uses that have ended. */
  OwnershipState expire(OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    PinTable pins = engine.pins().expire(time).forgetBefore(time.minus(settings.pinCounted()));
    return state.with(
        engine
            .withPins(pins)
            .withResidency(engine.residency().expire(time))
            .withDemands(demands(engine, time))
            .withUses(uses(engine, time))
            .withRecalled(recalled(engine, time))
            .withListeners(listeners(engine, time)));
  }

  private PMap<AdapterReference, Demand> demands(OwnedEngine engine, MonotonicTime time) {
    PMap<AdapterReference, Demand> demands = engine.demands();
    for (var entry : engine.demands().entrySet()) {
      Demand kept = entry.getValue().retainSince(time.minus(WAITER_LIFETIME));
      demands =
          kept.isForgettable(time, settings.longestBackoff())
              ? demands.minus(entry.getKey())
              : demands.plus(entry.getKey(), kept);
    }
    return demands;
  }

  private PMap<AdapterReference, DecayedRate> uses(OwnedEngine engine, MonotonicTime time) {
    PMap<AdapterReference, DecayedRate> uses = engine.uses();
    for (var entry : engine.uses().entrySet()) {
      if (entry.getValue().valueAt(time, settings.reuseHalfLife()) < SMALLEST_REUSE) {
        uses = uses.minus(entry.getKey());
      }
    }
    return uses;
  }

  private static PMap<AdapterReference, MonotonicTime> recalled(
      OwnedEngine engine, MonotonicTime time) {
    PMap<AdapterReference, MonotonicTime> recalled = engine.recalledUntil();
    for (var entry : engine.recalledUntil().entrySet()) {
      recalled = time.isBefore(entry.getValue()) ? recalled : recalled.minus(entry.getKey());
    }
    return recalled;
  }

  private static PMap<HostName, MonotonicTime> listeners(OwnedEngine engine, MonotonicTime time) {
    PMap<HostName, MonotonicTime> listeners = engine.listeners();
    for (var entry : engine.listeners().entrySet()) {
      boolean heard = time.isBefore(entry.getValue().plus(LISTENER_LIFETIME));
      listeners = heard ? listeners : listeners.minus(entry.getKey());
    }
    return listeners;
  }
}
