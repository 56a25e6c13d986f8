package org.parsleyhead.gateway.process;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.dispatch.StopStage;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * The order of events in which a host stops taking requests and answers those that it has taken.
 *
 * <p>Confined to one thread. While time is left, no request that was taken is given up: new ones
 * are refused before the last look at those that are active.
 */
final class PlannedStop {

  /** The load balancer polls once per second and removes a host after two failed polls. */
  private static final Duration BALANCER_DETECTION_TIME = Duration.ofMillis(2_700);

  /** Time for complete responses in transit to arrive once all new requests are rejected. */
  private static final Duration LAST_RESPONSES_DELAY = Duration.ofMillis(300);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private final MonotonicClock clock;
  private final Consumer<MonotonicTime> sleepUntil;
  private final Consumer<StopStage> stages;
  private final Runnable closeIdleConnections;
  private final IntSupplier activeRequests;

  /**
   * Creates a stop that has not begun.
   *
   * @param sleepUntil returns at a time of the clock
   * @param stages receives the stages of the stop in their order
   * @param closeIdleConnections closes the connections of callers without an active request
   * @param activeRequests returns the number of requests that were taken and have not ended
   */
  PlannedStop(
      MonotonicClock clock,
      Consumer<MonotonicTime> sleepUntil,
      Consumer<StopStage> stages,
      Runnable closeIdleConnections,
      IntSupplier activeRequests) {
    this.clock = clock;
    this.sleepUntil = sleepUntil;
    this.stages = stages;
    this.closeIdleConnections = closeIdleConnections;
    this.activeRequests = activeRequests;
  }

  /**
   * Runs the stop, for as long as the requests that were taken need.
   *
   * @param timeout the time after which it no longer waits for them
   * @return the number of requests that have not ended
   */
  int run(Duration timeout) {
    MonotonicTime started = clock.now();
    MonotonicTime deadline = started.plus(timeout);
    sleepUntil.accept(started.plus(BALANCER_DETECTION_TIME));
    stages.accept(StopStage.REJECT_STREAMS);
    awaitActiveRequests(deadline);
    stages.accept(StopStage.REJECT_ALL);
    awaitActiveRequests(deadline);
    sleep(LAST_RESPONSES_DELAY);
    closeIdleConnections.run();
    sleep(CHECK_INTERVAL);
    return activeRequests.getAsInt();
  }

  private void awaitActiveRequests(MonotonicTime deadline) {
    do {
      closeIdleConnections.run();
      sleep(CHECK_INTERVAL);
    } while (activeRequests.getAsInt() > 0 && clock.now().isBefore(deadline));
  }

  private void sleep(Duration duration) {
    sleepUntil.accept(clock.now().plus(duration));
  }
}
