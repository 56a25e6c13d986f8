package org.parsleyhead.core.request;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * Why a request gets no answer from an upstream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code the stable code
 * @param message an explanation for people
 * @param outcome what is known of its execution
 * @param retryAfter when a new attempt makes sense
 */
public record Refusal(
    RefusalCode code, String message, ExecutionOutcome outcome, Optional<Duration> retryAfter) {

  /** Checks the parts. */
  public Refusal {
    Preconditions.requireNonNull(code, "code");
    Preconditions.requireNonNull(message, "message");
    Preconditions.requireNonNull(outcome, "outcome");
    Preconditions.requireNonNull(retryAfter, "retryAfter");
  }

  /** Returns a refusal of a request that did not run. */
  public static Refusal notRun(RefusalCode code, String message) {
    return new Refusal(code, message, ExecutionOutcome.NOT_RUN, Optional.empty());
  }

  /** Returns a refusal of a request that did not run and may be sent again later. */
  public static Refusal notRun(RefusalCode code, String message, Duration retryAfter) {
    return new Refusal(code, message, ExecutionOutcome.NOT_RUN, Optional.of(retryAfter));
  }

  /** Returns a refusal of a request that may have run. */
  public static Refusal unknown(RefusalCode code, String message) {
    return new Refusal(code, message, ExecutionOutcome.UNKNOWN, Optional.empty());
  }
}
