package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.PMap;

/**
 * Removes expired state of owned engines.
 *
 * <p>Immutable and thread-safe.
 */
final class EngineExpiry {

  private static final Duration WAITER_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration HINT_RECIPIENT_TIMEOUT = Duration.ofSeconds(60);
  private static final double MINIMUM_EXPECTED_REUSE = 0.01;

  private final OwnershipSettings settings;

  EngineExpiry(OwnershipSettings settings) {
    this.settings = settings;
  }

  /** Removes expired pins, quarantines, waiters, use counts, recalls and hint recipients. */
  OwnershipState expire(OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    PinTable pins =
        engine.pins().expire(time).discardEndedBefore(time.minus(settings.pinLifetime()));
    return state.with(
        engine
            .withPins(pins)
            .withResidency(engine.residency().expire(time))
            .withDemands(unexpiredDemands(engine, time))
            .withUses(unexpiredUses(engine, time))
            .withRecalled(unexpiredRecalls(engine, time))
            .withHintRecipients(unexpiredHintRecipients(engine, time)));
  }

  private PMap<AdapterReference, Demand> unexpiredDemands(OwnedEngine engine, MonotonicTime time) {
    PMap<AdapterReference, Demand> demands = engine.demands();
    for (var entry : engine.demands().entrySet()) {
      Demand kept = entry.getValue().withoutStaleWaiters(time.minus(WAITER_TIMEOUT));
      demands =
          kept.isExpired(time, settings.maximumBackoff())
              ? demands.minus(entry.getKey())
              : demands.plus(entry.getKey(), kept);
    }
    return demands;
  }

  private PMap<AdapterReference, DecayedCount> unexpiredUses(
      OwnedEngine engine, MonotonicTime time) {
    PMap<AdapterReference, DecayedCount> uses = engine.uses();
    for (var entry : engine.uses().entrySet()) {
      if (entry.getValue().valueAt(time, settings.reuseHalfLife()) < MINIMUM_EXPECTED_REUSE) {
        uses = uses.minus(entry.getKey());
      }
    }
    return uses;
  }

  private static PMap<AdapterReference, MonotonicTime> unexpiredRecalls(
      OwnedEngine engine, MonotonicTime time) {
    PMap<AdapterReference, MonotonicTime> recalled = engine.recalledUntil();
    for (var entry : engine.recalledUntil().entrySet()) {
      recalled = time.isBefore(entry.getValue()) ? recalled : recalled.minus(entry.getKey());
    }
    return recalled;
  }

  private static PMap<HostName, MonotonicTime> unexpiredHintRecipients(
      OwnedEngine engine, MonotonicTime time) {
    PMap<HostName, MonotonicTime> recipients = engine.hintRecipients();
    for (var entry : engine.hintRecipients().entrySet()) {
      boolean active = time.isBefore(entry.getValue().plus(HINT_RECIPIENT_TIMEOUT));
      recipients = active ? recipients : recipients.minus(entry.getKey());
    }
    return recipients;
  }
}
