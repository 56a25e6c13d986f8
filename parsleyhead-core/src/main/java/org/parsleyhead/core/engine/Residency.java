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
 * The adapters that an engine holds, according to its reports and the orders since.
 *
 * <p>Immutable and thread-safe. A report whose read started before the last change is ignored for
 * the adapter that changed. An adapter whose last order has an unknown outcome is quarantined,
 * because the order may still be in transit.
 *
 * @param report the last report
 * @param resident the adapters that the engine holds
 * @param quarantinedUntil the adapters that must not be used, with the end of their quarantine
 * @param lastChangedAdapter the adapter that was loaded or removed last, if any
 * @param lastChangedAt when that adapter was loaded or removed
 */
record Residency(
    Optional<EngineReport> report,
    PSet<AdapterReference> resident,
    PMap<AdapterReference, MonotonicTime> quarantinedUntil,
    Optional<AdapterReference> lastChangedAdapter,
    MonotonicTime lastChangedAt) {

  /** Returns the residency of an engine that has not been read yet. */
  static Residency unread() {
    return new Residency(
        Optional.empty(),
        HashTreePSet.empty(),
        HashTreePMap.empty(),
        Optional.empty(),
        MonotonicTime.ORIGIN);
  }

  /** Returns this residency after a report, which is ignored for the adapter of a pending order. */
  Residency withReport(EngineReport latest, Optional<AdapterReference> pending) {
    PSet<AdapterReference> updated = HashTreePSet.from(latest.resident());
    if (pending.isPresent()) {
      updated = keepKnownState(updated, pending.get());
    }
    if (lastChangedAdapter.isPresent() && latest.readStarted().isBefore(lastChangedAt)) {
      updated = keepKnownState(updated, lastChangedAdapter.get());
    }
    return new Residency(
        Optional.of(latest), updated, quarantinedUntil, lastChangedAdapter, lastChangedAt);
  }

  /** Returns this residency after an adapter was loaded. */
  Residency withLoaded(AdapterReference adapter, MonotonicTime time) {
    return new Residency(
        report, resident.plus(adapter), quarantinedUntil, Optional.of(adapter), time);
  }

  /** Returns this residency without an adapter that is being unloaded or was found missing. */
  Residency without(AdapterReference adapter, MonotonicTime time) {
    return new Residency(
        report, resident.minus(adapter), quarantinedUntil, Optional.of(adapter), time);
  }

  /** Returns this residency with an adapter that must not be used until a time. */
  Residency withQuarantine(AdapterReference adapter, MonotonicTime until) {
    return new Residency(
        report, resident, quarantinedUntil.plus(adapter, until), lastChangedAdapter, lastChangedAt);
  }

  /** Returns this residency without expired quarantines. */
  Residency expire(MonotonicTime time) {
    PMap<AdapterReference, MonotonicTime> kept = quarantinedUntil;
    for (var entry : quarantinedUntil.entrySet()) {
      if (!time.isBefore(entry.getValue())) {
        kept = kept.minus(entry.getKey());
      }
    }
    return new Residency(report, resident, kept, lastChangedAdapter, lastChangedAt);
  }

  /** Returns whether an adapter is resident and not quarantined. */
  boolean isUsable(AdapterReference adapter) {
    return resident.contains(adapter) && !quarantinedUntil.containsKey(adapter);
  }

  /** Returns the number of slots that are or may be occupied. */
  int occupiedSlots() {
    long uncertain =
        quarantinedUntil.keySet().stream().filter(adapter -> !resident.contains(adapter)).count();
    return resident.size() + (int) uncertain;
  }

  /** Returns whether an adapter is quarantined. */
  boolean isQuarantined(AdapterReference adapter) {
    return quarantinedUntil.containsKey(adapter);
  }

  /** Returns whether the read behind the last report started at a time or later. */
  boolean isReadSince(MonotonicTime oldest) {
    return report.isPresent() && !report.get().readStarted().isBefore(oldest);
  }

  /** Returns the adapters with running or waiting requests according to the last report. */
  Set<AdapterReference> active() {
    return report.map(EngineReport::active).orElse(Set.of());
  }

  private PSet<AdapterReference> keepKnownState(
      PSet<AdapterReference> updated, AdapterReference adapter) {
    return resident.contains(adapter) ? updated.plus(adapter) : updated.minus(adapter);
  }
}
