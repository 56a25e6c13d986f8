package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.AdapterVersions;
import org.parsleyhead.core.instance.Instance;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The models and adapters of one incarnation of an instance, as known to this host.
 *
 * <p>Immutable and thread-safe. Reports of the owner of the instance take precedence over
 * announcements of the instance, since announcements lag by seconds. Adapters that are expected to
 * be loaded count as held.
 *
 * @param orderCount the number of accepted orders that the last report reflects; -1 without a
 *     report
 * @param reportedAt when the owner last reported
 * @param models the base models that the instance holds
 * @param held the versions of the held and expected adapters
 * @param expected the ordered loads that no response has confirmed
 * @param former when adapters that are no longer held were removed, in nanoseconds; they load
 *     faster than others
 * @param loadsRefusedUntil until when the owner is expected to refuse loads
 * @param freeSlots the adapter slots that are free or can be freed, by the last report; {@link
 *     AdapterReport#UNKNOWN_SLOTS} if unknown
 */
record AdapterInventory(
    long orderCount,
    MonotonicTime reportedAt,
    Set<String> models,
    PMap<AdapterKey, Long> held,
    PMap<AdapterKey, ExpectedLoad> expected,
    PMap<AdapterKey, Long> former,
    MonotonicTime loadsRefusedUntil,
    int freeSlots) {

  /** Number of former adapters that are tracked; servers cache about 50. */
  private static final int MAXIMUM_FORMER_ADAPTERS = 50;

  /** Time after a report during which announcements may be older than the report. */
  private static final Duration ANNOUNCEMENT_LAG = Duration.ofSeconds(3);

  /** Time after its expected instant for which an ordered adapter is still expected. */
  private static final Duration MAXIMUM_LOAD_DELAY = Duration.ofMillis(1_500);

  /** Time until an adapter that was not ready when expected is expected again. */
  private static final Duration LATE_LOAD_DELAY = Duration.ofMillis(40);

  private static final long NOT_REPORTED = -1;

  static AdapterInventory announced(Instance instance, MonotonicTime time) {
    return new AdapterInventory(
        NOT_REPORTED,
        time.minus(ANNOUNCEMENT_LAG),
        instance.models(),
        HashTreePMap.from(instance.adapters()),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        time,
        AdapterReport.UNKNOWN_SLOTS);
  }

  /** Returns this inventory after an announcement, which a recent report overrides. */
  AdapterInventory withAnnouncement(Instance instance, MonotonicTime time) {
    return time.since(reportedAt).compareTo(ANNOUNCEMENT_LAG) < 0
        ? this
        : withContents(orderCount, reportedAt, instance.models(), instance.adapters(), false, time);
  }

  /** Returns this inventory after a report; outdated reports are ignored. */
  AdapterInventory withReport(AdapterReport report, MonotonicTime time) {
    return report.orderCount() < orderCount
        ? this
        : withContents(report.orderCount(), time, report.models(), report.adapters(), true, time)
            .withFreeSlots(report.freeSlots());
  }

  /** Returns this inventory without adapters that are older than their declared versions. */
  AdapterInventory withoutOutdated(AdapterVersions versions) {
    AdapterInventory next = this;
    for (Map.Entry<AdapterKey, Long> adapter : held.entrySet()) {
      boolean loading = expected.containsKey(adapter.getKey());
      if (!loading && !versions.current(adapter.getKey(), adapter.getValue())) {
        next = next.without(adapter.getKey());
      }
    }
    return next;
  }

  /** Returns this inventory without the adapter if it is older than the declared version. */
  AdapterInventory withDeclaredVersion(AdapterKey adapter, long version) {
    Long known = held.get(adapter);
    return known == null || known >= version ? this : without(adapter);
  }

  private AdapterInventory without(AdapterKey adapter) {
    return without(adapter, former.minus(adapter));
  }

  private AdapterInventory without(AdapterKey adapter, PMap<AdapterKey, Long> nextFormer) {
    return new AdapterInventory(
        orderCount,
        reportedAt,
        models,
        held.minus(adapter),
        expected.minus(adapter),
        nextFormer,
        loadsRefusedUntil,
        freeSlots);
  }

  boolean holds(AdapterKey adapter) {
    return held.containsKey(adapter);
  }

  boolean formerlyHeld(AdapterKey adapter) {
    return former.containsKey(adapter);
  }

  private AdapterInventory withContents(
      long orders,
      MonotonicTime reported,
      Set<String> nextModels,
      Map<AdapterKey, Long> adapters,
      boolean byOwner,
      MonotonicTime time) {
    PMap<AdapterKey, Long> next = HashTreePMap.from(adapters);
    PMap<AdapterKey, ExpectedLoad> nextExpected = HashTreePMap.empty();
    PMap<AdapterKey, Long> nextFormer = former;
    for (Map.Entry<AdapterKey, Long> known : held.entrySet()) {
      AdapterKey adapter = known.getKey();
      ExpectedLoad load = expected.get(adapter);
      boolean listed = adapters.containsKey(adapter);
      boolean unloaded = byOwner && load != null && load.reported() && !listed;
      boolean loading =
          load != null
              && !unloaded
              && time.since(load.ownerReadyAt()).compareTo(MAXIMUM_LOAD_DELAY) < 0;
      if (loading) {
        next = next.plus(adapter, known.getValue());
        nextExpected = nextExpected.plus(adapter, byOwner && listed ? load.asReported() : load);
      } else if (!next.containsKey(adapter)) {
        nextFormer = nextFormer.plus(adapter, time.nanoseconds());
      }
    }
    return new AdapterInventory(
        orders,
        reported,
        nextModels,
        next,
        nextExpected,
        bounded(nextFormer),
        loadsRefusedUntil,
        freeSlots);
  }

  AdapterInventory withExpectedLoad(AdapterKey adapter, ExpectedLoad load) {
    return new AdapterInventory(
        orderCount,
        reportedAt,
        models,
        held.containsKey(adapter) ? held : held.plus(adapter, 0L),
        expected.plus(adapter, load),
        former.minus(adapter),
        loadsRefusedUntil,
        held.containsKey(adapter) || freeSlots <= 0 ? freeSlots : freeSlots - 1);
  }

  AdapterInventory withLoaded(AdapterKey adapter) {
    return expected.containsKey(adapter)
        ? new AdapterInventory(
            orderCount,
            reportedAt,
            models,
            held,
            expected.minus(adapter),
            former,
            loadsRefusedUntil,
            freeSlots)
        : this;
  }

  /**
   * Returns this inventory after the instance reported that it does not hold an adapter. An adapter
   * that was ordered recently is taken to be late; any other one is removed.
   */
  AdapterInventory withMissing(AdapterKey adapter, MonotonicTime time) {
    ExpectedLoad load = expected.get(adapter);
    boolean late =
        load != null && time.since(load.ownerReadyAt()).compareTo(MAXIMUM_LOAD_DELAY) < 0;
    return late
        ? withExpectedLoad(adapter, load.withOwnerReadyAt(time.plus(LATE_LOAD_DELAY)))
        : without(adapter, bounded(former.plus(adapter, time.nanoseconds())));
  }

  AdapterInventory withLoadsRefusedUntil(MonotonicTime until) {
    return new AdapterInventory(
        orderCount, reportedAt, models, held, expected, former, until, freeSlots);
  }

  AdapterInventory withFreeSlots(int slots) {
    return new AdapterInventory(
        orderCount, reportedAt, models, held, expected, former, loadsRefusedUntil, slots);
  }

  /** Returns whether a load can be ordered now, as far as this host knows. */
  boolean acceptsLoads(MonotonicTime time) {
    return freeSlots != 0 && !time.isBefore(loadsRefusedUntil);
  }

  private static PMap<AdapterKey, Long> bounded(PMap<AdapterKey, Long> adapters) {
    if (adapters.size() <= MAXIMUM_FORMER_ADAPTERS) {
      return adapters;
    }
    AdapterKey oldest = null;
    long oldestAt = Long.MAX_VALUE;
    for (Map.Entry<AdapterKey, Long> adapter : adapters.entrySet()) {
      if (oldest == null || adapter.getValue() < oldestAt) {
        oldest = adapter.getKey();
        oldestAt = adapter.getValue();
      }
    }
    return bounded(adapters.minus(oldest));
  }
}
