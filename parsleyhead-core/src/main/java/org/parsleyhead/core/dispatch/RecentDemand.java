package org.parsleyhead.core.dispatch;

import java.time.Duration;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The requests that this host has sent to model servers during the last 5 to 10 s.
 *
 * <p>Immutable and thread-safe. Kept in two generations, each of which covers 5 s and holds a
 * bounded number of adapters.
 *
 * @param young the demand for each adapter that was requested in the young generation
 * @param old the demand for each adapter that was last requested in the old generation
 * @param youngTokens the prompt tokens without cached ones in the young generation
 * @param oldTokens the prompt tokens without cached ones in the old generation
 * @param youngSince when the young generation began
 */
record RecentDemand(
    PMap<AdapterKey, AdapterDemand> young,
    PMap<AdapterKey, AdapterDemand> old,
    long youngTokens,
    long oldTokens,
    MonotonicTime youngSince) {

  static final RecentDemand NONE =
      new RecentDemand(
          HashTreePMap.empty(), HashTreePMap.empty(), 0, 0, new MonotonicTime(Long.MIN_VALUE / 4));

  private static final Duration GENERATION = Duration.ofSeconds(5);
  private static final int MAXIMUM_ADAPTERS = 2_000;

  /** Returns this demand after a request was sent. */
  RecentDemand withRequest(AdapterKey adapter, long uncachedTokens, MonotonicTime time) {
    RecentDemand current = at(time);
    boolean counted = current.young.containsKey(adapter) || current.young.size() < MAXIMUM_ADAPTERS;
    AdapterDemand demand = current.of(adapter).withRequest(uncachedTokens, time);
    return new RecentDemand(
        counted ? current.young.plus(adapter, demand) : current.young,
        current.old,
        current.youngTokens + uncachedTokens,
        current.oldTokens,
        current.youngSince);
  }

  /** Returns whether this host has recently sent a request for an adapter. */
  boolean includes(AdapterKey adapter, MonotonicTime time) {
    RecentDemand current = at(time);
    return current.young.containsKey(adapter) || current.old.containsKey(adapter);
  }

  /** Returns the prompt tokens that this host sends per millisecond. */
  double tokensPerMillisecond(MonotonicTime time) {
    RecentDemand current = at(time);
    Duration covered = GENERATION.plus(time.since(current.youngSince));
    return (double) (current.youngTokens + current.oldTokens) / covered.toMillis();
  }

  /** Returns the demand for an adapter as observed by this host. */
  AdapterDemand of(AdapterKey adapter) {
    AdapterDemand recent = young.get(adapter);
    return recent == null ? old.getOrDefault(adapter, AdapterDemand.NONE) : recent;
  }

  private RecentDemand at(MonotonicTime time) {
    Duration age = time.since(youngSince);
    if (age.compareTo(GENERATION) < 0) {
      return this;
    }
    boolean kept = age.compareTo(GENERATION.multipliedBy(2)) < 0;
    return new RecentDemand(
        HashTreePMap.empty(),
        kept ? young : HashTreePMap.empty(),
        0,
        kept ? youngTokens : 0,
        kept ? youngSince.plus(GENERATION) : time);
  }
}
