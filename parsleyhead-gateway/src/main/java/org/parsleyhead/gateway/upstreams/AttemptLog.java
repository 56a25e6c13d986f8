package org.parsleyhead.gateway.upstreams;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.dispatch.DispatchEffect;
import org.parsleyhead.runtime.log.EventLog;

/** Logs events with the identity of their attempt. Stateless and thread-safe. */
final class AttemptLog {

  private static final EventLog LOG = new EventLog("upstreams");

  private AttemptLog() {}

  static void log(DispatchEffect.Send send, String event, Object... keysAndValues) {
    List<Object> fields =
        new ArrayList<>(
            List.of(
                "request",
                send.request().identifier(),
                "attempt",
                send.attempt(),
                "instance",
                send.instance().identifier()));
    fields.addAll(List.of(keysAndValues));
    LOG.request(event, fields.toArray());
  }
}
