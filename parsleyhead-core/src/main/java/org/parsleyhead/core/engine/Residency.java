package org.parsleyhead.core.engine;

import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * What an engine holds, by its own reports and the answers to orders given since.
 *
 * <p>Immutable and thread-safe. A report that was begun before an order ended tells nothing of that
 * order's adapter. An adapter whose last order has an unknown outcome is quarantined: the order may
 * still be on its way.
 *
 * @param report the last report
 * @param resident the adapters that the engine holds
 * @param quarantinedUntil the adapters that must not be used, with the end of that
 * @param lastChanged the adapter of the last order, if any
 * @param lastChangedAt when that order ended
 */
record Residency(
    Optional<EngineReport> report,
    PSet<AdapterReference> resident,
    PMap<AdapterReference, MonotonicTime> quarantinedUntil,
    Optional<AdapterReference> lastChanged,
    MonotonicTime lastChangedAt) {

  /** Returns the residency of an engine that was never read. */
  static Residency unread() {
    return new Residency(
        Optional.empty(),
        HashTreePSet.empty(),
        HashTreePMap.empty(),
        Optional.empty(),
        MonotonicTime.ORIGIN);
  }

  /** Returns this residency after a report; the adapter of a pending order stays as it is. */
  Residency read(EngineReport heard, Optional<AdapterReference> pending) {
    PSet<AdapterReference> updated = HashTreePSet.from(heard.resident());
    if (pending.isPresent()) {
      updated = keep(updated, pending.get());
    }
    if (lastChanged.isPresent() && heard.readStarted().isBefore(lastChangedAt)) {
      updated = keep(updated, lastChanged.get());
    }
    return new Residency(Optional.of(heard), updated, quarantinedUntil, lastChanged, lastChangedAt);
  }

  /** Returns this residency after an adapter was loaded. */
  Residency loaded(AdapterReference adapter, MonotonicTime time) {
    return new Residency(
        report, resident.plus(adapter), quarantinedUntil, Optional.of(adapter), time);
  }

  /** Returns this residency without an adapter, from the order to unload it on. */
  Residency without(AdapterReference adapter, MonotonicTime time) {
    return new Residency(
        report, resident.minus(adapter), quarantinedUntil, Optional.of(adapter), time);
  }

  /** Returns this residency with an adapter that must not be used for a while. */
  Residency quarantine(AdapterReference adapter, MonotonicTime until) {
    return new Residency(
        report, resident, quarantinedUntil.plus(adapter, until), lastChanged, lastChangedAt);
  }

  /** Returns this residency without quarantines that have ended. */
  Residency expire(MonotonicTime time) {
    PMap<AdapterReference, MonotonicTime> kept = quarantinedUntil;
    for (var entry : quarantinedUntil.entrySet()) {
      if (!time.isBefore(entry.getValue())) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new Residency(report, resident, kept, lastChanged, lastChangedAt);
  }

  /** Tells whether requests for an adapter may start, as far as the engine is concerned. */
  boolean isUsable(AdapterReference adapter) {
    return resident.contains(adapter) && !quarantinedUntil.containsKey(adapter);
  }

  /** Returns how many slots are or may be occupied. */
  int occupiedSlots() {
    long doubtful =
        quarantinedUntil.keySet().stream().filter(adapter -> !resident.contains(adapter)).count();
    return resident.size() + (int) doubtful;
  }

  /** Tells whether an adapter is quarantined. */
  boolean isQuarantined(AdapterReference adapter) {
    return quarantinedUntil.containsKey(adapter);
  }

  /** Tells whether the last report was begun at a time or later. */
  boolean isReadSince(MonotonicTime oldest) {
    return report.isPresent() && !report.get().readStarted().isBefore(oldest);
  }

  /** Returns the adapters with running or waiting requests by the last report. */
  Set<AdapterReference> active() {
    return report.map(EngineReport::active).orElse(Set.of());
  }

  private PSet<AdapterReference> keep(PSet<AdapterReference> updated, AdapterReference adapter) {
    return resident.contains(adapter) ? updated.plus(adapter) : updated.minus(adapter);
  }
}
