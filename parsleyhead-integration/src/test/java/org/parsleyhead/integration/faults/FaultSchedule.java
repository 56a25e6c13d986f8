package org.parsleyhead.integration.faults;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.parsleyhead.integration.fleet.FleetException;

/**
 * Causes faults one after the other, again and again, on a thread of its own.
 *
 * <p>Thread-safe. A fault has ended before the next one begins, and after {@link #close()}. The
 * first failure of a step ends the schedule and is thrown by {@link #close()}.
 */
final class FaultSchedule implements AutoCloseable {

  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(90);

  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger faults = new AtomicInteger();
  private final Thread thread;
  private volatile RuntimeException failure;

  private FaultSchedule(List<Step> steps, Duration pause) {
    this.thread = new Thread(() -> run(steps, pause), "fault-schedule");
  }

  /** Starts to cause faults with a pause after each. */
  static FaultSchedule start(List<Step> steps, Duration pause) {
    FaultSchedule schedule = new FaultSchedule(steps, pause);
    schedule.thread.start();
    return schedule;
  }

  /** Returns how many faults were caused so far. */
  int faults() {
    return faults.get();
  }

  @Override
  public void close() {
    ended.set(true);
    try {
      thread.join(STOP_TIMEOUT.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
    if (failure != null) {
      throw failure;
    }
  }

  private void run(List<Step> steps, Duration pause) {
    try {
      for (int index = 0; !ended.get(); index++) {
        Step step = steps.get(index % steps.size());
        step.begin().run();
        faults.incrementAndGet();
        sleep(step.length());
        step.end().run();
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
      throw new FleetException("interrupted", exception);
    }
  }

  /**
   * A fault.
   *
   * @param begin begins it
   * @param length how long it lasts
   * @param end ends it
   */
  record Step(Runnable begin, Duration length, Runnable end) {}
}
