package org.parsleyhead.runtime.command;

/** Tells a service when to stop. Implementations are thread-safe. */
@FunctionalInterface
public interface StopSignal {

  /**
   * Waits, parked, until the process is asked to stop.
   *
   * @throws InterruptedException if the thread is interrupted first
   */
  void await() throws InterruptedException;
}
