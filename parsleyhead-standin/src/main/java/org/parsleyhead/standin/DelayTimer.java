package org.parsleyhead.standin;

import java.time.Duration;

/** Runs actions later. Implementations are thread-safe; actions do not block. */
@FunctionalInterface
public interface DelayTimer {

  /** Runs an action after a duration. */
  void schedule(Duration delay, Runnable action);
}
