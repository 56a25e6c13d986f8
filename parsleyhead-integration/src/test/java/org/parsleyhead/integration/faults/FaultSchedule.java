package org.parsleyhead.integration.faults;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleyhead.integration.fleet.FleetException;

/**
 * Injects a cycle of faults one after another on a thread of its own until it is closed.
 *
 * <p>Thread-safe. Each fault is cleared before the next one is injected and before {@link #close()}
 * returns. The first exception of a fault ends the schedule and is thrown by {@link #close()}.
 */
final class FaultSchedule implements AutoCloseable {

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(90);

  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicInteger injectedCount = new AtomicInteger();
  private final Thread thread;
  private volatile RuntimeException failure;

  private FaultSchedule(List<Fault> faults, Duration pause) {
    this.thread = new Thread(() -> run(faults, pause), "fault-schedule");
  }

  /** Starts injecting faults, with a pause after each. */
  static FaultSchedule start(List<Fault> faults, Duration pause) {
    FaultSchedule schedule = new FaultSchedule(faults, pause);
    schedule.thread.start();
    return schedule;
  }

  /** Returns the number of faults injected so far. */
  int injectedCount() {
    return injectedCount.get();
  }

  @Override
  public void close() {
    closed.set(true);
    try {
      thread.join(STOP_TIMEOUT.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while waiting for the schedule to stop", exception);
    }
    if (failure != null) {
      throw failure;
    }
  }

  private void run(List<Fault> faults, Duration pause) {
    try {
      for (int index = 0; !closed.get(); index++) {
        Fault fault = faults.get(index % faults.size());
        fault.inject().run();
        injectedCount.incrementAndGet();
        sleep(fault.duration());
        fault.clear().run();
        sleep(pause);
      }
    } catch (RuntimeException exception) {
      failure = exception;
    }
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted while a fault was scheduled", exception);
    }
  }

  /**
   * A fault.
   *
   * @param begin injects the fault
   * @param length how long the fault lasts
   * @param end clears the fault
   */
  record Fault(Runnable inject, Duration duration, Runnable clear) {}
}
