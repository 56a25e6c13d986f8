package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What is reported about a request that has not ended.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identifier the request identifier from the caller; empty if there is none
 * @param instance the instance that it was last assigned to; empty if it waits for one
 * @param attempts the number of attempts
 * @param receivedAt when the request was received
 * @param deadline the instant by which the response must be complete; empty before its admission
 */
public record ActiveRequestSummary(
    String identifier,
    Optional<String> instance,
    int attempts,
    MonotonicTime receivedAt,
    Optional<MonotonicTime> deadline) {

  static ActiveRequestSummary of(ActiveRequest active) {
    return new ActiveRequestSummary(
        active.request().identifier(),
        active.progress().instance(),
        active.progress().attempts(),
        active.receivedAt(),
        Optional.of(active.deadline()));
  }

  static ActiveRequestSummary of(ReceivedRequest waiting) {
    return new ActiveRequestSummary(
        waiting.request().identifier(),
        Optional.empty(),
        0,
        waiting.receivedAt(),
        Optional.empty());
  }
}
