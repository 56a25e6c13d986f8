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

  /** Answers that were passed on whole, for each upstream. */
  static final MetricName ANSWERS = MetricName.of(MetricNames.PREFIX + "answers_total");

  /** Tokens of answers that were passed on whole, prompts included. */
  static final MetricName TOKENS = MetricName.of(MetricNames.PREFIX + "tokens_total");

  /** Attempts that did not end in a whole answer, for each result. */
  static final MetricName BROKEN_ATTEMPTS =
      MetricName.of(MetricNames.PREFIX + "broken_attempts_total");

  /** Refusals, for each code and outcome. */
  static final MetricName REFUSALS = MetricName.of(MetricNames.PREFIX + "refusals_total");

  /** Time from the receipt of a request to the end of its answer. */
  static final MetricName REQUEST_TIME = MetricName.of(MetricNames.PREFIX + "request_seconds");

  private EntryMetrics() {}
}
