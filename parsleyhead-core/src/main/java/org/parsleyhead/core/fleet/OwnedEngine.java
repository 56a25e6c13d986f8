package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A model server whose lease this host holds.
 *
 * <p>Immutable and thread-safe. No order is sent before a report has shown what the server holds,
 * or while the answer to an order is outstanding.
 *
 * @param reportStatus whether the server has reported its state
 * @param orderCount the number of orders that it has accepted
 * @param models the base models that it holds
 * @param slots the adapters that it holds or is loading
 * @param unloadedAt when adapters were unloaded; these load faster than others
 * @param pending the queued loads, in order
 * @param inFlight the order whose answer is outstanding
 * @param adapterRequests the number of requests that use each adapter, by host
 * @param changedAt when its models, its adapters or the use of its adapters last changed
 */
record OwnedEngine(
    ReportStatus reportStatus,
    long orderCount,
    Set<String> models,
    PMap<AdapterKey, AdapterSlot> slots,
    PMap<AdapterKey, MonotonicTime> unloadedAt,
    PVector<PendingLoad> pending,
    Optional<OrderInFlight> inFlight,
    PMap<String, Map<AdapterKey, Integer>> adapterRequests,
    MonotonicTime changedAt) {

  /** Assumed age of an adapter that a server reports as loaded; longer than any load takes. */
  private static final Duration LOADED_BEFORE_REPORT = Duration.ofSeconds(5);

  static OwnedEngine unknown(MonotonicTime time) {
    return new OwnedEngine(
        new ReportStatus(false, Optional.of(time)),
        0,
        Set.of(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        TreePVector.empty(),
        Optional.empty(),
        HashTreePMap.empty(),
        time);
  }

  boolean reported() {
    return reportStatus.reported();
  }

  boolean inUse(AdapterKey adapter) {
    return adapterRequests.values().stream().anyMatch(requests -> requests.containsKey(adapter));
  }

  Optional<PendingLoad> findPending(AdapterKey adapter) {
    return pending.stream().filter(load -> load.adapter().equals(adapter)).findFirst();
  }

  OwnedEngine withReport(FleetEvent.ReportRead read, MonotonicTime readyAt, MonotonicTime time) {
    PMap<AdapterKey, AdapterSlot> next = HashTreePMap.empty();
    for (Map.Entry<AdapterKey, Long> adapter : read.report().adapters().entrySet()) {
      AdapterSlot known = slots.get(adapter.getKey());
      MonotonicTime usedAt = known == null ? time : known.usedAt();
      MonotonicTime orderedAt =
          known == null ? time.minus(LOADED_BEFORE_REPORT) : known.orderedAt();
      next =
          next.plus(adapter.getKey(), new AdapterSlot(adapter.getValue(), orderedAt, time, usedAt));
    }
    for (AdapterKey adapter : read.loading()) {
      next = next.plus(adapter, new AdapterSlot(0, time, readyAt, time));
    }
    return new OwnedEngine(
        new ReportStatus(true, Optional.empty()),
        read.report().orderCount(),
        read.report().models(),
        next,
        unloadedAt,
        pending,
        Optional.empty(),
        adapterRequests,
        time);
  }

  /** Returns this engine with unknown state and a report to be requested at an instant. */
  OwnedEngine withUnknownState(MonotonicTime nextRequestAt) {
    return withReportStatus(new ReportStatus(false, Optional.of(nextRequestAt)))
        .withInFlight(Optional.empty());
  }

  OwnedEngine withReportRequested(MonotonicTime nextRequestAt) {
    return withReportStatus(new ReportStatus(reportStatus.reported(), Optional.of(nextRequestAt)));
  }

  OwnedEngine withPending(PVector<PendingLoad> next) {
    return new OwnedEngine(
        reportStatus,
        orderCount,
        models,
        slots,
        unloadedAt,
        next,
        inFlight,
        adapterRequests,
        changedAt);
  }

  OwnedEngine withInFlight(Optional<OrderInFlight> order) {
    return new OwnedEngine(
        reportStatus,
        orderCount,
        models,
        slots,
        unloadedAt,
        pending,
        order,
        adapterRequests,
        changedAt);
  }

  OwnedEngine withSlot(AdapterKey adapter, AdapterSlot slot) {
    return new OwnedEngine(
        reportStatus,
        orderCount,
        models,
        slots.plus(adapter, slot),
        unloadedAt,
        pending,
        inFlight,
        adapterRequests,
        changedAt);
  }

  /** Returns this engine after an order to load an adapter was accepted. */
  OwnedEngine withLoaded(AdapterKey adapter, AdapterSlot slot, MonotonicTime time) {
    return new OwnedEngine(
        reportStatus,
        orderCount + 1,
        models,
        slots.plus(adapter, slot),
        unloadedAt.minus(adapter),
        pending,
        Optional.empty(),
        adapterRequests,
        time);
  }

  /** Returns this engine after an adapter was unloaded. */
  OwnedEngine withUnloaded(AdapterKey adapter, MonotonicTime time) {
    return new OwnedEngine(
        reportStatus,
        orderCount + 1,
        models,
        slots.minus(adapter),
        unloadedAt.plus(adapter, time),
        pending,
        Optional.empty(),
        adapterRequests,
        time);
  }

  OwnedEngine withAdapterRequests(
      String host, Map<AdapterKey, Integer> requests, MonotonicTime time) {
    PMap<AdapterKey, AdapterSlot> used = slots;
    for (AdapterKey adapter : requests.keySet()) {
      AdapterSlot slot = used.get(adapter);
      if (slot != null) {
        used = used.plus(adapter, slot.withUsedAt(time));
      }
    }
    boolean sameAdapters =
        requests.keySet().equals(adapterRequests.getOrDefault(host, Map.of()).keySet());
    return new OwnedEngine(
        reportStatus,
        orderCount,
        models,
        used,
        unloadedAt,
        pending,
        inFlight,
        requests.isEmpty()
            ? adapterRequests.minus(host)
            : adapterRequests.plus(host, Map.copyOf(requests)),
        sameAdapters ? changedAt : time);
  }

  private OwnedEngine withReportStatus(ReportStatus next) {
    return new OwnedEngine(
        next, orderCount, models, slots, unloadedAt, pending, inFlight, adapterRequests, changedAt);
  }

  /**
   * Whether a server has reported its state.
   *
   * <p>Immutable and thread-safe.
   *
   * @param reported whether the state of the server is known
   * @param nextRequestAt when the next report is requested; empty if none is needed
   */
  record ReportStatus(boolean reported, Optional<MonotonicTime> nextRequestAt) {}
}
