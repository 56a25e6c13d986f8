package org.parsleyhead.gateway.upstreams;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.core.dispatch.ResponseStage;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Logs the events of one attempt with its identity and that of its connection.
 *
 * <p>Confined to the event loop.
 */
final class AttemptLog {

  private static final EventLog LOG = new EventLog("upstreams");

  private final DispatchEffect.Send send;
  private final long sentAt = System.nanoTime();
  private Optional<UpstreamConnection> connection = Optional.empty();
  private boolean pausedForMemory;

  /** Creates the log of an attempt that starts now. */
  AttemptLog(DispatchEffect.Send send) {
    this.send = send;
  }

  /** Adds the connection of the attempt to the lines from now on. */
  void connected(UpstreamConnection connected) {
    connection = Optional.of(connected);
  }

  /** Logs an event. */
  void event(String event, Object... keysAndValues) {
    List<Object> fields =
        new ArrayList<>(
            List.of(
                "request",
                send.request().identifier(),
                "attempt",
                send.attempt(),
                "instance",
                send.instance().identifier()));
    fields.addAll(
        Arrays.asList(connection.map(open -> open.describe(keysAndValues)).orElse(keysAndValues)));
    LOG.request(event, fields.toArray());
  }

  /** Logs that the response waits for memory, once for an attempt. */
  void pausedForMemory() {
    if (!pausedForMemory) {
      pausedForMemory = true;
      event("paused_for_memory");
    }
  }

  /** Logs the end of the attempt with the time since its start. */
  void ended(AttemptResult result) {
    event(
        "send_ended",
        "outcome",
        result.outcome(),
        "status",
        result.status(),
        "lost_at",
        result.lostAt().map(ResponseStage::name).orElse("-"),
        "reason",
        result.reason(),
        "elapsed_ms",
        Duration.ofNanos(System.nanoTime() - sentAt).toMillis());
  }
}
