package org.parsleyhead.runtime.duty;

import org.parsleyhead.core.api.MonotonicTime;

/** A source of monotonic time. Implementations are thread-safe. */
@FunctionalInterface
public interface MonotonicClock {

  /** The monotonic clock of this process. */
  MonotonicClock SYSTEM = () -> new MonotonicTime(System.nanoTime());

  /** Returns the current reading. */
  MonotonicTime now();
}
