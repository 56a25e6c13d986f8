package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.TreePSet;

/**
 * The state of an engine as this host sees it: its load, its adapters and its availability.
 *
 * <p>Immutable and thread-safe. Load reports are delayed, so the requests that this host started
 * and ended recently are added to the reported load.
 *
 * @param item the declaration of the engine
 * @param report the last load report
 * @param resident the adapters that the engine held according to the last hint
 * @param outstanding the number of running requests of this host on the engine
 * @param changes the recent starts minus ends of requests of this host, which the report may not
 *     include
 * @param ready the adapters that are pinned on the engine and have a waiting request for it
 * @param unavailableUntil the time until which the engine receives no requests
 * @param slowStartFrom the start of the slow start after the last failure; empty if it never failed
 */
record EngineView(
    UpstreamItem item,
    Optional<LoadReport> report,
    Set<AdapterReference> resident,
    int outstanding,
    RecentChanges changes,
    TreePSet<ReadyKey> ready,
    Optional<MonotonicTime> unavailableUntil,
    Optional<MonotonicTime> slowStartFrom) {

  /**
   * A load report of an engine.
   *
   * @param running the number of requests that the engine ran
   * @param waiting the number of requests that waited in the engine
   * @param ownRequests the number of requests of this host on the engine when the report was
   *     received
   * @param takenAt when the report was taken, on this host's clock
   */
  record LoadReport(int running, int waiting, int ownRequests, MonotonicTime takenAt) {}

  static EngineView unknown(UpstreamItem item, MonotonicTime time) {
    return new EngineView(
        item,
        Optional.empty(),
        Set.of(),
        0,
        RecentChanges.none(time),
        TreePSet.empty(),
        Optional.empty(),
        Optional.empty());
  }

  UpstreamName name() {
    return item.name();
  }

  int maximumBatch() {
    return item.engine().orElseThrow().maximumBatch();
  }

  boolean isAvailable(MonotonicTime time) {
    return !item.leaving()
        && (unavailableUntil.isEmpty() || !time.isBefore(unavailableUntil.get()));
  }

  /**
   * Returns the estimated load as a fraction of the maximum batch; above 1 if requests wait in the
   * engine.
   */
  double load(MonotonicTime time) {
    int total = report.map(last -> last.running() + last.waiting()).orElse(outstanding);
    int change = report.isPresent() ? changes.total(time) : 0;
    return (double) Math.max(outstanding, total + change) / maximumBatch();
  }

  /**
   * Returns whether this host may start another request.
   *
   * <p>Each host may always use its share of the batch. Capacity beyond that is divided among all
   * hosts if the last report shows requests of other hosts, and otherwise between at most two
   * hosts.
   */
  boolean hasRoom(int hosts, SchedulingSettings settings, MonotonicTime time) {
    if (!isAvailable(time) || outstanding >= slowStartLimit(settings, time)) {
      return false;
    }
    if (outstanding < Math.max(1, maximumBatch() / hosts)) {
      return true;
    }
    Optional<LoadReport> fresh =
        report.filter(
            last -> time.since(last.takenAt()).compareTo(settings.maximumReportAge()) <= 0);
    if (fresh.isEmpty()) {
      return false;
    }
    int free =
        maximumBatch()
            + settings.maximumEngineQueue()
            - fresh.get().running()
            - fresh.get().waiting();
    boolean shared = fresh.get().running() + fresh.get().waiting() > fresh.get().ownRequests();
    int shares = shared ? hosts : Math.min(hosts, 2);
    return changes.total(time) < (Math.max(0, free) + shares - 1) / shares;
  }

  private int slowStartLimit(SchedulingSettings settings, MonotonicTime time) {
    int full = maximumBatch() + settings.maximumEngineQueue();
    if (slowStartFrom.isEmpty()) {
      return full;
    }
    Duration elapsed = time.since(slowStartFrom.get());
    double fraction = (double) elapsed.toNanos() / settings.slowStartDuration().toNanos();
    return fraction >= 1 ? full : Math.max(1, (int) (fraction * full));
  }

  EngineView withItem(UpstreamItem next) {
    return new EngineView(
        next, report, resident, outstanding, changes, ready, unavailableUntil, slowStartFrom);
  }

  EngineView withReport(LoadReport next, Set<AdapterReference> holds) {
    return new EngineView(
        item,
        Optional.of(next),
        holds,
        outstanding,
        changes,
        ready,
        unavailableUntil,
        slowStartFrom);
  }

  EngineView started(MonotonicTime time) {
    return new EngineView(
        item,
        report,
        resident,
        outstanding + 1,
        changes.plus(1, time),
        ready,
        unavailableUntil,
        slowStartFrom);
  }

  EngineView ended(MonotonicTime time) {
    return new EngineView(
        item,
        report,
        resident,
        Math.max(0, outstanding - 1),
        changes.plus(-1, time),
        ready,
        unavailableUntil,
        slowStartFrom);
  }

  EngineView withReady(TreePSet<ReadyKey> next) {
    return new EngineView(
        item, report, resident, outstanding, changes, next, unavailableUntil, slowStartFrom);
  }

  EngineView failed(MonotonicTime until) {
    return new EngineView(
        item,
        Optional.empty(),
        Set.of(),
        outstanding,
        RecentChanges.none(until),
        ready,
        Optional.of(until),
        Optional.of(until));
  }
}
