package org.parsleyhead.entry.process;

import org.parsleyhead.runtime.metrics.MetricName;
import org.parsleyhead.runtime.metrics.MetricNames;

/** The metrics of an entry host. Stateless and thread-safe. */
final class EntryMetrics {

  /** Requests that were received and have not completed. */
  static final MetricName ACTIVE_REQUESTS = MetricName.of(MetricNames.PREFIX + "active_requests");

  /** Bytes sent to other entry hosts. */
  static final MetricName PEER_BYTES_SENT =
      MetricName.of(MetricNames.PREFIX + "peer_sent_bytes_total");

  /** Bytes received from other entry hosts. */
  static final MetricName PEER_BYTES_RECEIVED =
      MetricName.of(MetricNames.PREFIX + "peer_received_bytes_total");

  /** Events whose transition or effects failed, by duty. */
  static final MetricName DUTY_FAILURES = MetricName.of(MetricNames.PREFIX + "duty_failures_total");

  /** Responses relayed completely, by upstream. */
  static final MetricName COMPLETED_RESPONSES = MetricName.of(MetricNames.PREFIX + "answers_total");

  /** Tokens of completely relayed responses, prompt tokens included. */
  static final MetricName TOKENS = MetricName.of(MetricNames.PREFIX + "tokens_total");

  /** Attempts at an upstream without a complete response, by result. */
  static final MetricName INCOMPLETE_ATTEMPTS =
      MetricName.of(MetricNames.PREFIX + "broken_attempts_total");

  /** Refused requests, by code and outcome. */
  static final MetricName REFUSALS = MetricName.of(MetricNames.PREFIX + "refusals_total");

  /** Time from the receipt of a request to the end of its response. */
  static final MetricName REQUEST_TIME = MetricName.of(MetricNames.PREFIX + "request_seconds");

  private EntryMetrics() {}
}
