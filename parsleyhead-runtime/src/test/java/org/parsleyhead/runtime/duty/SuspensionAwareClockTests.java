package org.parsleyhead.runtime.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("A suspension-aware clock")
class SuspensionAwareClockTests {

  private final AtomicLong monotonicNanoseconds = new AtomicLong(5_000_000_000L);
  private final AtomicLong wallClockMilliseconds = new AtomicLong(1_000_000);
  private final SuspensionAwareClock clock =
      new SuspensionAwareClock(monotonicNanoseconds::get, wallClockMilliseconds::get);

  private Duration elapsed(long monotonicMilliseconds, long wallMilliseconds) {
    MonotonicTime before = clock.now();
    monotonicNanoseconds.addAndGet(monotonicMilliseconds * 1_000_000);
    wallClockMilliseconds.addAndGet(wallMilliseconds);
    return clock.now().since(before);
  }

  @Test
  @DisplayName("follows the monotonic clock")
  void followsMonotonicClock() {
    assertEquals(Duration.ofMillis(100), elapsed(100, 110));
  }

  @Test
  @DisplayName("jumps ahead by the length of a suspension, which only the wall clock counts")
  void countsSuspension() {
    assertEquals(Duration.ofMillis(4_010), elapsed(10, 4_010));
  }

  @Test
  @DisplayName("does not go back when the wall clock is set back")
  void neverGoesBack() {
    assertEquals(Duration.ofMillis(10), elapsed(10, -2_000));
    assertEquals(Duration.ofMillis(10), elapsed(10, 10));
  }
}
