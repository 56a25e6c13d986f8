package org.parsleyhead.standin;

import java.time.Duration;

/** Schedules actions. Implementations are thread-safe; actions must not block. */
@FunctionalInterface
public interface DelayTimer {

  /** Runs an action once after a delay. */
  void schedule(Duration delay, Runnable action);
}
