package org.parsleyhead.entry.process;

import org.parsleyhead.runtime.metrics.MetricName;
import org.parsleyhead.runtime.metrics.MetricNames;

/** The metrics of an entry host. Stateless and thread-safe. */
final class EntryMetrics {

  /** Requests between their receipt and their end. */
  static final MetricName ACTIVE_REQUESTS = MetricName.of(MetricNames.PREFIX + "active_requests");

  /** Bytes sent to other entry hosts. */
  static final MetricName PEER_BYTES_SENT =
      MetricName.of(MetricNames.PREFIX + "peer_sent_bytes_total");

  /** Bytes received from other entry hosts. */
  static final MetricName PEER_BYTES_RECEIVED =
      MetricName.of(MetricNames.PREFIX + "peer_received_bytes_total");

  /** Events whose transition or effects failed, for each duty. */
  static final MetricName DUTY_FAILURES = MetricName.of(MetricNames.PREFIX + "duty_failures_total");

  private EntryMetrics() {}
}
