package org.parsleyhead.gateway.process;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.dispatch.ActiveRequestSummary;

/**
 * The log events about the requests that are unanswered at the end of a stop.
 *
 * <p>Stateless and thread-safe. Bounded in number; the last event counts the requests left out.
 */
final class UnansweredReport {

  static final int MAXIMUM_REQUESTS = 100;

  private UnansweredReport() {}

  /**
   * Returns the keys and values of one event for each request.
   *
   * @param requests the unanswered requests
   * @param signalAt when the stop began
   * @param time the current time
   */
  static List<Object[]> of(
      List<ActiveRequestSummary> requests, MonotonicTime signalAt, MonotonicTime time) {
    List<Object[]> events = new ArrayList<>();
    requests.stream()
        .limit(MAXIMUM_REQUESTS)
        .forEach(request -> events.add(keysAndValues(request, signalAt, time)));
    if (requests.size() > MAXIMUM_REQUESTS) {
      events.add(new Object[] {"left_out", requests.size() - MAXIMUM_REQUESTS});
    }
    return events;
  }

  private static Object[] keysAndValues(
      ActiveRequestSummary request, MonotonicTime signalAt, MonotonicTime time) {
    return new Object[] {
      "request",
      request.identifier(),
      "instance",
      request.instance().orElse("none"),
      "attempts",
      request.attempts(),
      "after_signal_ms",
      request.receivedAt().since(signalAt).toMillis(),
      "active_ms",
      time.since(request.receivedAt()).toMillis(),
      "time_left_ms",
      request
          .deadline()
          .map(deadline -> String.valueOf(deadline.since(time).toMillis()))
          .orElse("unknown")
    };
  }
}
