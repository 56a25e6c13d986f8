package org.parsleyhead.core.dispatch;

import org.parsleyhead.core.api.MonotonicTime;

/**
 * The expected time of plain requests, from the reported load and pace of their servers.
 *
 * <p>Stateless and thread-safe. Handles servers that are filled by several hosts: a full server
 * refuses requests, which costs their callers more than a slow response within the latency target.
 */
final class PlainExpectation {

  /**
   * Fraction of the latency target that a response takes at an idle server. Responses within 20 to
   * 40 ms have targets of 120 to 170 ms.
   */
  private static final double WORK_FRACTION = 0.25;

  /**
   * Cost of each request per slot, as a fraction of the latency target. An empty server at a
   * quarter of the speed costs as much as a usual one with half as many requests waiting as it has
   * slots.
   */
  private static final double UTILIZATION_FRACTION = 0.5;

  /** The longest requests take a third longer than the mean, 40 ms instead of 30 ms. */
  private static final double USABLE_TARGET_FRACTION = 0.75;

  private PlainExpectation() {}

  /** Returns the time that a request takes at the usual pace once it runs. */
  static double workMilliseconds(ActiveRequest request) {
    return request.route().latencyTarget().toMillis() * WORK_FRACTION;
  }

  /** Returns the requests per slot at an instance, including those that wait. */
  static double utilization(InstanceView view, MonotonicTime time) {
    int slots = view.instance().slots();
    return view.condition()
        .load()
        .map(
            report ->
                report.utilization(
                    view.ownLoad().running(), view.condition().otherHosts().at(time), slots, time))
        .orElse((double) view.totalLoad().running() / slots);
  }

  /** Returns the time until a further request runs, as a multiple of the time that it takes. */
  static double queueing(InstanceView view, MonotonicTime time) {
    return view.condition()
        .load()
        .map(report -> Math.max(0, utilization(view, time) - 1 + 1.0 / report.report().slots()))
        .orElse(0.0);
  }

  /**
   * Returns the cost of an instance in milliseconds: the time beyond that of an idle server at the
   * usual pace, and the cost of occupying its slots, which counts for any instance.
   */
  static double cost(ActiveRequest request, InstanceView view, MonotonicTime time) {
    double target = request.route().latencyTarget().toMillis();
    double pace = view.condition().paceAt(time);
    double multiple = pace * (1 + queueing(view, time)) - 1;
    return utilization(view, time) * target * UTILIZATION_FRACTION
        + multiple * workMilliseconds(request);
  }

  /**
   * Returns the cost up to which the response is expected within the latency target, even if the
   * request takes longer than most.
   */
  static double costWithinTarget(ActiveRequest request) {
    return request.route().latencyTarget().toMillis() * USABLE_TARGET_FRACTION
        - workMilliseconds(request);
  }
}
