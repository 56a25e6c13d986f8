package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;

/**
 * The result of an attempt at an instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param outcome the outcome
 * @param status the HTTP status of the response; 0 if there was none
 * @param responseStarted whether a part of the response was written to the caller
 * @param responseBuffered whether a whole response of the instance is buffered and can be delivered
 * @param lostAt how much of the response had been received when the connection was lost; empty if
 *     the attempt ended in another way
 * @param reason the observed reason, for the log
 */
public record AttemptResult(
    AttemptOutcome outcome,
    int status,
    boolean responseStarted,
    boolean responseBuffered,
    Optional<ResponseStage> lostAt,
    String reason) {

  /** Validates the components. */
  public AttemptResult {
    Preconditions.requireNonNull(outcome, "outcome");
    Preconditions.requireNonNull(lostAt, "lostAt");
    Preconditions.requireNonNull(reason, "reason");
  }
}
