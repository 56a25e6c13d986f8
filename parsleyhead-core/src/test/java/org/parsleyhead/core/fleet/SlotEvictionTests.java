package org.parsleyhead.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.overload.RequestRank;

/** Guards against load requests at servers without a slot, and against evictions of adapters. */
@DisplayName("Slots of an owned server")
class SlotEvictionTests {

  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));
  private static final AdapterKey FIRST = new AdapterKey("base", "first");
  private static final AdapterKey SECOND = new AdapterKey("base", "second");
  private static final RequestRank RANK =
      new RequestRank(
          0, Duration.ZERO, Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofMillis(250));
  private static final int SLOTS = 3;

  private static MonotonicTime after(long milliseconds) {
    return START.plus(Duration.ofMillis(milliseconds));
  }

  private static OwnedEngine holding(AdapterKey adapter, OwnedEngine engine, long usedAt) {
    return engine.withLoaded(
        adapter, new AdapterSlot(1, START, after(270), after(usedAt)), after(usedAt));
  }

  @Test
  @DisplayName("count as free if they are empty or their adapter may be evicted")
  void countsFreeSlots() {
    OwnedEngine engine = holding(FIRST, OwnedEngine.unknown(START), 0);
    assertEquals(2, SlotEviction.freeSlots(engine, SLOTS, after(500)));
    assertEquals(3, SlotEviction.freeSlots(engine, SLOTS, after(800)));
    OwnedEngine used = engine.withAdapterRequests("host", Map.of(FIRST, 1), after(10));
    assertEquals(2, SlotEviction.freeSlots(used, SLOTS, after(2_000)));
    OwnedEngine pending =
        used.withPending(
            used.pending()
                .plus(PendingLoad.of(new LoadRequest("host", "i-1", SECOND, RANK), after(10))));
    assertEquals(1, SlotEviction.freeSlots(pending, SLOTS, after(2_000)));
  }

  @Test
  @DisplayName("are reported again when the use of an adapter begins or ends")
  void reportsUse() {
    OwnedEngine engine = holding(FIRST, OwnedEngine.unknown(START), 0);
    OwnedEngine used = engine.withAdapterRequests("host", Map.of(FIRST, 1), after(10));
    OwnedEngine more = used.withAdapterRequests("host", Map.of(FIRST, 2), after(20));
    OwnedEngine unused = more.withAdapterRequests("host", Map.of(), after(30));
    assertEquals(after(10), used.changedAt());
    assertEquals(after(10), more.changedAt());
    assertEquals(after(30), unused.changedAt());
  }

  @Test
  @DisplayName("are taken from the least recently used adapter")
  void evictsLeastRecentlyUsed() {
    OwnedEngine engine = holding(SECOND, holding(FIRST, OwnedEngine.unknown(START), 0), 100);
    assertEquals(
        Optional.of(FIRST), SlotEviction.candidate(engine, List.of(engine), after(10_000)));
  }

  @Test
  @DisplayName("are kept by an adapter that is in demand at another server")
  void keepsAdapterInDemand() {
    OwnedEngine engine = holding(SECOND, holding(FIRST, OwnedEngine.unknown(START), 0), 100);
    OwnedEngine other = holding(FIRST, OwnedEngine.unknown(START), 9_000);
    assertEquals(
        Optional.of(SECOND), SlotEviction.candidate(engine, List.of(engine, other), after(10_000)));
  }
}
