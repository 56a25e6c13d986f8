package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.RightsSnapshot;

/**
 * Decides which actions the owner of an engine may take at a point in time.
 *
 * <p>Stateless apart from its settings; immutable and thread-safe. Callers make each check in the
 * same transition that emits the effect it allows.
 *
 * @param settings the durations that the checks are based on
 */
record OwnershipRights(OwnershipSettings settings) {

  /**
   * Returns whether this host may grant pins: only while no other host can grant pins, evict, or
   * have an eviction in transit to the engine.
   */
  boolean mayGrant(OwnedEngine engine, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return engine.acquisition().isExclusiveFor(settings.takeoverDelay(), rightsSnapshot, time);
  }

  /**
   * Returns whether this host may load adapters. An engine that checks fencing numbers rejects
   * orders of the former owner once it has received one of the new owner, so the new owner may load
   * immediately. All other engines require the exclusive right.
   */
  boolean mayLoad(OwnedEngine engine, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return engine.engine().checksFencing() || mayGrant(engine, rightsSnapshot, time);
  }

  /**
   * Returns whether this host may evict adapters: only after all pins of a former owner have
   * expired, even if the engine checks fencing numbers.
   */
  boolean mayEvict(OwnedEngine engine, RightsSnapshot rightsSnapshot, MonotonicTime time) {
    Duration wait = settings.takeoverDelay().plus(settings.pinLifetime());
    return engine.acquisition().isExclusiveFor(wait, rightsSnapshot, time);
  }

  /**
   * Returns whether an adapter is guaranteed to have no request running or in transit: no pin can
   * be valid, and a report whose state is newer than the last pin plus the request transit time
   * shows no request running or waiting for the adapter.
   */
  boolean isUnused(OwnedEngine engine, AdapterReference adapter, MonotonicTime time) {
    if (engine.pins().isPinned(adapter, time)
        || engine.residency().active().contains(adapter)
        || engine.residency().report().isEmpty()) {
      return false;
    }
    MonotonicTime reportedState =
        engine.residency().report().get().readStarted().minus(settings.reportLag());
    MonotonicTime formerPinsEnd =
        engine
            .acquisition()
            .exclusiveSince()
            .map(since -> since.plus(settings.pinLifetime()))
            .orElse(time);
    MonotonicTime ownPinsEnd = engine.pins().lastPinEnd(adapter).orElse(formerPinsEnd);
    return !reportedState.isBefore(formerPinsEnd.plus(settings.maximumRequestTransit()))
        && !reportedState.isBefore(ownPinsEnd.plus(settings.maximumRequestTransit()));
  }
}
