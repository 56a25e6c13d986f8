package org.parsleyhead.core.quarantine;

import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;

/**
 * The loss of the connection on which a server had not yet answered a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param serverRun identifies the run of the server, which ends with a crash
 * @param answerBegun whether the head of an answer had arrived, and nothing of its content
 * @param at when the connection was lost
 */
public record Loss(long serverRun, boolean answerBegun, MonotonicTime at) {

  /** The weight of a loss after which the server had not begun to answer. */
  static final int UNANSWERED_WEIGHT = 1;

  /** The weight of a loss after which the server had begun to answer. */
  static final int ANSWER_BEGUN_WEIGHT = 2;

  /** Validates the components. */
  public Loss {
    Preconditions.requireNonNull(at, "at");
  }

  int weight() {
    return answerBegun ? ANSWER_BEGUN_WEIGHT : UNANSWERED_WEIGHT;
  }
}
