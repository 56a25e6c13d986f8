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
 * The models and adapters of one run of an instance, as this host knows them.
 *
 * <p>Immutable and thread-safe. What the owner of the instance reports goes before what the
 * instance announces, since announcements lag by seconds.
 *
 * @param orderCount the accepted orders as of which the adapters are known; -1 if nobody reported
 * @param reportedAt when the owner last reported
 * @param models the base models
 * @param held the adapters with their versions
 * @param readyAt when adapters on their way are expected to be there
 * @param former adapters that were held before and load faster than others
 * @param loadsRefusedUntil until when the host that gives orders is expected to refuse loads
 */
record HeldAdapters(
    long orderCount,
    MonotonicTime reportedAt,
    Set<String> models,
    PMap<AdapterKey, Long> held,
    PMap<AdapterKey, MonotonicTime> readyAt,
    PMap<AdapterKey, Long> former,
    MonotonicTime loadsRefusedUntil) {

  /** Former adapters that are remembered; servers keep about fifty at hand. */
  private static final int MOST_FORMER = 50;

  /** How long announcements may lag behind a report. */
  private static final Duration ANNOUNCEMENT_LAG = Duration.ofSeconds(3);

  /** How long after its expected time an ordered adapter may still come. */
  private static final Duration LONGEST_DELAY = Duration.ofMillis(1_500);

  /** When an adapter that is late is expected anew. */
  private static final Duration LATE_LOAD_DELAY = Duration.ofMillis(40);

  private static final long NOT_REPORTED = -1;

  static HeldAdapters announced(Instance instance, MonotonicTime time) {
    return new HeldAdapters(
        NOT_REPORTED,
        time.minus(ANNOUNCEMENT_LAG),
        instance.models(),
        HashTreePMap.from(instance.adapters()),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        time);
  }

  /** Returns what is known after an announcement; itself if a report is more recent. */
  HeldAdapters announce(Instance instance, MonotonicTime time) {
    return time.since(reportedAt).compareTo(ANNOUNCEMENT_LAG) < 0
        ? this
        : next(orderCount, reportedAt, instance.models(), instance.adapters(), time);
  }

  /** Returns what is known after a report; itself if the report is older. */
  HeldAdapters report(AdapterReport report, MonotonicTime time) {
    return report.orderCount() < orderCount
        ? this
        : next(report.orderCount(), time, report.models(), report.adapters(), time);
  }

  /** Returns what may still be used, by the declared versions. */
  HeldAdapters current(AdapterVersions versions) {
    HeldAdapters next = this;
    for (Map.Entry<AdapterKey, Long> adapter : held.entrySet()) {
      boolean awaited = readyAt.containsKey(adapter.getKey());
      if (!awaited && !versions.current(adapter.getKey(), adapter.getValue())) {
        next = next.without(adapter.getKey());
      }
    }
    return next;
  }

  /** Returns what may still be used after a version of an adapter was declared. */
  HeldAdapters declared(AdapterKey adapter, long version) {
    Long known = held.get(adapter);
    return known == null || known >= version ? this : without(adapter);
  }

  private HeldAdapters without(AdapterKey adapter) {
    return without(adapter, former.minus(adapter));
  }

  private HeldAdapters without(AdapterKey adapter, PMap<AdapterKey, Long> nextFormer) {
    return new HeldAdapters(
        orderCount,
        reportedAt,
        models,
        held.minus(adapter),
        readyAt.minus(adapter),
        nextFormer,
        loadsRefusedUntil);
  }

  boolean holds(AdapterKey adapter) {
    return held.containsKey(adapter);
  }

  boolean formerlyHeld(AdapterKey adapter) {
    return former.containsKey(adapter);
  }

  private HeldAdapters next(
      long orders,
      MonotonicTime reported,
      Set<String> presentModels,
      Map<AdapterKey, Long> adapters,
      MonotonicTime time) {
    PMap<AdapterKey, Long> next = HashTreePMap.from(adapters);
    PMap<AdapterKey, MonotonicTime> coming = HashTreePMap.empty();
    PMap<AdapterKey, Long> remembered = former;
    for (Map.Entry<AdapterKey, Long> known : held.entrySet()) {
      AdapterKey adapter = known.getKey();
      MonotonicTime expected = readyAt.get(adapter);
      boolean awaited = expected != null && time.since(expected).compareTo(LONGEST_DELAY) < 0;
      if (awaited) {
        next = next.plus(adapter, known.getValue());
        coming = coming.plus(adapter, expected);
      } else if (!next.containsKey(adapter)) {
        remembered = remembered.plus(adapter, time.nanoseconds());
      }
    }
    return new HeldAdapters(
        orders, reported, presentModels, next, coming, bounded(remembered), loadsRefusedUntil);
  }

  HeldAdapters expect(AdapterKey adapter, MonotonicTime instant) {
    return new HeldAdapters(
        orderCount,
        reportedAt,
        models,
        held.containsKey(adapter) ? held : held.plus(adapter, 0L),
        readyAt.plus(adapter, instant),
        former.minus(adapter),
        loadsRefusedUntil);
  }

  HeldAdapters arrived(AdapterKey adapter) {
    return readyAt.containsKey(adapter)
        ? new HeldAdapters(
            orderCount, reportedAt, models, held, readyAt.minus(adapter), former, loadsRefusedUntil)
        : this;
  }

  /**
   * Returns what is known after the instance said that it lacks an adapter: an adapter that has
   * just been ordered is late, another one is gone.
   */
  HeldAdapters lacked(AdapterKey adapter, MonotonicTime time) {
    MonotonicTime expected = readyAt.get(adapter);
    boolean late = expected != null && time.since(expected).compareTo(LONGEST_DELAY) < 0;
    return late
        ? expect(adapter, time.plus(LATE_LOAD_DELAY))
        : without(adapter, bounded(former.plus(adapter, time.nanoseconds())));
  }

  HeldAdapters refuseLoads(MonotonicTime until) {
    return new HeldAdapters(orderCount, reportedAt, models, held, readyAt, former, until);
  }

  private static PMap<AdapterKey, Long> bounded(PMap<AdapterKey, Long> adapters) {
    if (adapters.size() <= MOST_FORMER) {
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
