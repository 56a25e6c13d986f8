package org.parsleyhead.runtime.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;

/**
 * A monotonic clock that includes the time during which the host was suspended.
 *
 * <p>Thread-safe. The host's monotonic clock does not count the time of a suspension, so leases
 * that have expired would still appear valid. When the wall clock has advanced further than the
 * monotonic clock, this clock jumps ahead by the difference. Setting the wall clock forward has the
 * same effect and makes leases expire too early; setting it back has no effect.
 */
public final class SuspensionAwareClock implements MonotonicClock {

  /** Smaller differences are adjustments of the wall clock. */
  private static final long MINIMUM_JUMP_NANOSECONDS = Duration.ofMillis(250).toNanos();

  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final LongSupplier monotonicNanoseconds;
  private final LongSupplier wallClockMilliseconds;
  private final AtomicLong lastDifference;
  private final AtomicLong suspendedNanoseconds = new AtomicLong();

  /** Creates a clock from a monotonic clock in nanoseconds and a wall clock in milliseconds. */
  public SuspensionAwareClock(
      LongSupplier monotonicNanoseconds, LongSupplier wallClockMilliseconds) {
    this.monotonicNanoseconds =
        Preconditions.requireNonNull(monotonicNanoseconds, "monotonicNanoseconds");
    this.wallClockMilliseconds =
        Preconditions.requireNonNull(wallClockMilliseconds, "wallClockMilliseconds");
    this.lastDifference = new AtomicLong(currentDifference(monotonicNanoseconds.getAsLong()));
  }

  /** Creates a clock from the system clocks of this process. */
  public static SuspensionAwareClock ofProcess() {
    return new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis);
  }

  @Override
  public MonotonicTime now() {
    long monotonic = monotonicNanoseconds.getAsLong();
    long current = currentDifference(monotonic);
    long previous = lastDifference.getAndSet(current);
    if (current - previous > MINIMUM_JUMP_NANOSECONDS) {
      suspendedNanoseconds.addAndGet(current - previous);
    }
    return new MonotonicTime(monotonic + suspendedNanoseconds.get());
  }

  private long currentDifference(long monotonic) {
    return wallClockMilliseconds.getAsLong() * NANOSECONDS_PER_MILLISECOND - monotonic;
  }
}
