package org.parsleyhead.runtime.command;

/** Signals when a service must stop. Implementations are thread-safe. */
@FunctionalInterface
public interface StopSignal {

  /**
   * Blocks without spinning until a stop is requested.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  void await() throws InterruptedException;
}
