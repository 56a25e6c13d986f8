package org.parsleyhead.gateway.process;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.dispatch.StopPlan;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * The order of events in which a host stops taking requests and answers those that it has taken.
 *
 * <p>Confined to one thread. From its beginning on, a request is admitted only if its response ends
 * while time is left. While time is left, no request that was taken is given up: new ones are
 * refused before the last look at those that are active.
 */
final class PlannedStop {

  /** The load balancer polls once per second and removes a host after two failed polls. */
  private static final Duration BALANCER_DETECTION_TIME = Duration.ofMillis(2_700);

  /** Time for the delivery of the responses that end last. */
  private static final Duration LAST_RESPONSES_DELAY = Duration.ofMillis(300);

  /** The part of a short stop that is left for the delivery of the last responses. */
  private static final int LAST_RESPONSES_DIVISOR = 10;

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  private final MonotonicClock clock;
  private final Consumer<MonotonicTime> sleepUntil;
  private final Consumer<StopPlan> plans;
  private final Runnable closeIdleConnections;
  private final Runnable closePort;
  private final IntSupplier unansweredRequests;

  /**
   * Creates a stop that has not begun.
   *
   * @param sleepUntil returns at a time of the clock
   * @param plans receives what may be admitted from now on
   * @param closeIdleConnections closes the connections of callers without an active request
   * @param closePort ends the acceptance of connections of callers
   * @param unansweredRequests returns the number of requests that were taken and whose response has
   *     not left this process completely
   */
  PlannedStop(
      MonotonicClock clock,
      Consumer<MonotonicTime> sleepUntil,
      Consumer<StopPlan> plans,
      Runnable closeIdleConnections,
      Runnable closePort,
      IntSupplier unansweredRequests) {
    this.clock = clock;
    this.sleepUntil = sleepUntil;
    this.plans = plans;
    this.closeIdleConnections = closeIdleConnections;
    this.closePort = closePort;
    this.unansweredRequests = unansweredRequests;
  }

  /**
   * Runs the stop, for as long as the requests that were taken need.
   *
   * @param timeout the time after which it no longer waits for them
   * @return the number of requests that were not answered
   */
  int run(Duration timeout) {
    MonotonicTime started = clock.now();
    MonotonicTime deadline = started.plus(timeout);
    MonotonicTime answersEndBy =
        deadline.minus(shorter(LAST_RESPONSES_DELAY, timeout.dividedBy(LAST_RESPONSES_DIVISOR)));
    plans.accept(StopPlan.rejectEndingAfter(answersEndBy));
    sleepUntil.accept(started.plus(shorter(BALANCER_DETECTION_TIME, answersEndBy.since(started))));
    awaitResponses(answersEndBy);
    plans.accept(StopPlan.REJECT_ALL);
    awaitResponses(deadline);
    closePort.run();
    awaitResponses(deadline);
    return unansweredRequests.getAsInt();
  }

  /** Waits until all responses are written and the connections that carried them are closing. */
  private void awaitResponses(MonotonicTime until) {
    do {
      closeIdleConnections.run();
      MonotonicTime nextCheck = clock.now().plus(CHECK_INTERVAL);
      sleepUntil.accept(nextCheck.isBefore(until) ? nextCheck : until);
    } while (unansweredRequests.getAsInt() > 0 && clock.now().isBefore(until));
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
