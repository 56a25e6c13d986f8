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
 * What this host knows of an engine's load.
 *
 * <p>Immutable and thread-safe. Reports lag, so own starts and ends since the report are counted on
 * top of it.
 *
 * @param item the engine as declared
 * @param report the last load report
 * @param resident the adapters that the last hint named
 * @param outstanding how many requests of this host run there
 * @param changes own starts less own ends that the report may not show
 * @param ready the adapters whose first waiting request may start there
 * @param unavailableUntil before when it gets nothing
 * @param slowStartFrom when its load began to grow after a failure; empty if it never failed
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
   * A load report.
   *
   * @param running how many requests the engine ran
   * @param waiting how many waited in it
   * @param own how many of them were this host's
   * @param taken when, on this host's clock
   */
  record LoadReport(int running, int waiting, int own, MonotonicTime taken) {}

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

  /** Returns the estimated load as a part of the largest batch; above 1 if requests wait. */
  double load(MonotonicTime time) {
    int total = report.map(last -> last.running() + last.waiting()).orElse(outstanding);
    int change = report.isPresent() ? changes.total(time) : 0;
    return (double) Math.max(outstanding, total + change) / maximumBatch();
  }

  /**
   * Tells whether this host may start a further request.
   *
   * <p>Each host may always use its part of the batch. Room beyond that is divided among the hosts
   * that use the engine by the last report.
   */
  boolean hasRoom(int hosts, SchedulingSettings settings, MonotonicTime time) {
    if (!isAvailable(time) || outstanding >= slowStartLimit(settings, time)) {
      return false;
    }
    if (outstanding < Math.max(1, maximumBatch() / hosts)) {
      return true;
    }
    Optional<LoadReport> fresh =
        report.filter(last -> time.since(last.taken()).compareTo(settings.reportFresh()) <= 0);
    if (fresh.isEmpty()) {
      return false;
    }
    int free =
        maximumBatch() + settings.queueTarget() - fresh.get().running() - fresh.get().waiting();
    boolean shared = fresh.get().running() + fresh.get().waiting() > fresh.get().own();
    int parts = shared ? hosts : Math.min(hosts, 2);
    return changes.total(time) < (Math.max(0, free) + parts - 1) / parts;
  }

  private int slowStartLimit(SchedulingSettings settings, MonotonicTime time) {
    int full = maximumBatch() + settings.queueTarget();
    if (slowStartFrom.isEmpty()) {
      return full;
    }
    Duration elapsed = time.since(slowStartFrom.get());
    double part = (double) elapsed.toNanos() / settings.slowStart().toNanos();
    return part >= 1 ? full : Math.max(1, (int) (part * full));
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
