package org.parsleyhead.gateway.process;

import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.runtime.log.EventLog;

/** Logs and counts the waits of requests for capacity. Thread-safe. */
final class WaitReports {

  private static final EventLog LOG = new EventLog("dispatch");

  private final GatewayMetrics metrics;

  WaitReports(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  void began(DispatchEffect.WaitBegan began) {
    LOG.request(
        "wait_began",
        "request",
        began.request().identifier(),
        "capacity",
        began.line().capacity(),
        "service",
        began.line().service(),
        "priority",
        began.rank().priority(),
        "waited_ms",
        began.rank().waited().toMillis(),
        "work_ms",
        began.rank().work().toMillis(),
        "left_ms",
        began.rank().untilDeadline().toMillis(),
        "expected_ms",
        began.expectedWait().toMillis());
  }

  void ended(DispatchEffect.WaitEnded ended) {
    LOG.request(
        "wait_ended",
        "request",
        ended.request().identifier(),
        "capacity",
        ended.line().capacity(),
        "elapsed_ms",
        ended.waited().toMillis(),
        "expected_ms",
        ended.expectedWait().toMillis());
    metrics.waitEnded(ended.waited(), ended.expectedWait());
  }
}
