package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * The reason for which a request gets no answer, or no complete answer, from an upstream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code the refusal code
 * @param message a human-readable explanation
 * @param outcome what is known about the execution of the request
 * @param retryAfter the delay after which the caller may retry; empty if no delay is proposed
 */
public record Refusal(
    RefusalCode code, String message, ExecutionOutcome outcome, Optional<Duration> retryAfter) {

  /** Validates the components. */
  public Refusal {
    Preconditions.requireNonNull(code, "code");
    Preconditions.requireNonNull(message, "message");
    Preconditions.requireNonNull(outcome, "outcome");
    Preconditions.requireNonNull(retryAfter, "retryAfter");
  }

  /** Returns the refusal of a request that did not run. */
  public static Refusal notRun(RefusalCode code, String message) {
    return new Refusal(code, message, ExecutionOutcome.NOT_RUN, Optional.empty());
  }

  /** Returns the refusal of a request that did not run and may be retried after a delay. */
  public static Refusal notRun(RefusalCode code, String message, Duration retryAfter) {
    return new Refusal(code, message, ExecutionOutcome.NOT_RUN, Optional.of(retryAfter));
  }

  /** Returns the refusal of a request that may have run. */
  public static Refusal unknown(RefusalCode code, String message) {
    return new Refusal(code, message, ExecutionOutcome.UNKNOWN, Optional.empty());
  }
}
