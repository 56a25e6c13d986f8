package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.membership.Standing;

/**
 * What the owner of an engine may do at an instant.
 *
 * <p>Stateless apart from its settings; immutable and thread-safe. Each check is made right before
 * the effect that it allows.
 *
 * @param settings the durations
 */
record OwnershipRights(OwnershipSettings settings) {

  /** Pins are granted only while nobody else can grant, evict or have an eviction on its way. */
  boolean mayGrant(OwnedEngine engine, Standing standing, MonotonicTime time) {
    return engine.acquisition().isExclusiveFor(settings.settling(), standing, time);
  }

  /**
   * An engine that checks fencing numbers refuses the former owner once the new one gave an order,
   * so that the new owner loads at once; any other is ordered under the exclusive right only.
   */
  boolean mayLoad(OwnedEngine engine, Standing standing, MonotonicTime time) {
    return engine.engine().checksFencing() || mayGrant(engine, standing, time);
  }

  /** Evictions wait until the pins of a former owner have ended, whether fencing is checked. */
  boolean mayEvictAnything(OwnedEngine engine, Standing standing, MonotonicTime time) {
    Duration wait = settings.settling().plus(settings.pinCounted());
    return engine.acquisition().isExclusiveFor(wait, standing, time);
  }

  /**
   * Tells whether an adapter has surely nothing running and nothing on its way: no pin can be
   * valid, and a report of a later instant shows nothing running or waiting for it.
   */
  boolean isUnused(OwnedEngine engine, AdapterReference adapter, MonotonicTime time) {
    if (engine.pins().isPinned(adapter, time)
        || engine.residency().active().contains(adapter)
        || engine.residency().report().isEmpty()) {
      return false;
    }
    MonotonicTime shown =
        engine.residency().report().get().readStarted().minus(settings.reportLag());
    MonotonicTime formerEnd =
        engine
            .acquisition()
            .exclusiveSince()
            .map(since -> since.plus(settings.pinCounted()))
            .orElse(time);
    MonotonicTime ownEnd = engine.pins().lastEnd(adapter).orElse(formerEnd);
    return !shown.isBefore(formerEnd.plus(settings.startTransit()))
        && !shown.isBefore(ownEnd.plus(settings.startTransit()));
  }
}
