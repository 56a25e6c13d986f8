package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * Decides which adapter of an owned server may give its slot to another one.
 *
 * <p>Stateless and thread-safe. Only adapters that are loaded, not in use and idle for the minimum
 * time are evicted, those without recent demand at any owned server first, and among these the
 * least recently used one.
 */
final class SlotEviction {

  /**
   * Minimum time from the last use of an adapter to its eviction; longer than a report of a new use
   * takes to arrive.
   */
  private static final Duration MINIMUM_IDLE_TIME = Duration.ofMillis(700);

  /** Time for which a use counts as recent demand; demand shifts every 6 to 8 s. */
  private static final Duration RECENT_DEMAND_TIME = Duration.ofSeconds(3);

  private SlotEviction() {}

  /**
   * Returns the adapter to evict from a server; empty if none may be evicted.
   *
   * @param engine the server
   * @param owned all servers that this host owns
   * @param time the current time
   */
  static Optional<AdapterKey> candidate(
      OwnedEngine engine, Collection<OwnedEngine> owned, MonotonicTime time) {
    Comparator<Map.Entry<AdapterKey, AdapterSlot>> byDemand =
        Comparator.comparing(
            entry -> owned.stream().anyMatch(other -> demanded(other, entry.getKey(), time)));
    return engine.slots().entrySet().stream()
        .filter(entry -> evictable(engine, entry, time))
        .min(byDemand.thenComparing(entry -> entry.getValue().usedAt()))
        .map(Map.Entry::getKey);
  }

  /**
   * Returns the number of loads that can be ordered beyond the pending ones: empty slots and slots
   * of adapters that may be evicted.
   */
  static int freeSlots(OwnedEngine engine, int adapterSlots, MonotonicTime time) {
    long evictable =
        engine.slots().entrySet().stream().filter(entry -> evictable(engine, entry, time)).count();
    return (int)
        Math.max(0, adapterSlots - engine.slots().size() + evictable - engine.pending().size());
  }

  private static boolean evictable(
      OwnedEngine engine, Map.Entry<AdapterKey, AdapterSlot> entry, MonotonicTime time) {
    AdapterSlot slot = entry.getValue();
    return !time.isBefore(slot.readyAt())
        && time.since(slot.usedAt()).compareTo(MINIMUM_IDLE_TIME) > 0
        && !engine.inUse(entry.getKey());
  }

  private static boolean demanded(OwnedEngine engine, AdapterKey adapter, MonotonicTime time) {
    AdapterSlot slot = engine.slots().get(adapter);
    return slot != null && time.since(slot.usedAt()).compareTo(RECENT_DEMAND_TIME) < 0
        || engine.findPending(adapter).isPresent()
        || engine.inUse(adapter);
  }
}
