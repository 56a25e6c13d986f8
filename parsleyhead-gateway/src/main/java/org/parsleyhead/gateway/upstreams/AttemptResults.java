package org.parsleyhead.gateway.upstreams;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.ResponseStage;
import org.parsleyhead.gateway.api.ResponseHead;

/** Creates the results of attempts. Stateless and thread-safe. */
final class AttemptResults {

  private AttemptResults() {}

  /** Returns the result of an attempt of which nothing was written. */
  static AttemptResult unsent(String reason) {
    return new AttemptResult(AttemptOutcome.NOT_SENT, 0, false, false, Optional.empty(), reason);
  }

  /**
   * Returns the result of an attempt that was broken off.
   *
   * @param response the response that was received; empty if there is none
   * @param begun whether the caller has a part of the answer
   * @param lostAt what was received of the response if the connection was lost
   */
  static AttemptResult broken(
      Optional<HttpResponse> response,
      boolean begun,
      Optional<ResponseStage> lostAt,
      String reason) {
    int status = response.map(head -> head.status().code()).orElse(0);
    return new AttemptResult(AttemptOutcome.BROKEN, status, begun, false, lostAt, reason);
  }

  /** Returns the result of an attempt whose whole response went to the caller. */
  static AttemptResult completed(HttpResponse response, boolean begun, String reason) {
    return new AttemptResult(
        AttemptOutcome.COMPLETED, response.status().code(), begun, false, Optional.empty(), reason);
  }

  /**
   * Returns the result of an attempt with a whole error response, which is buffered.
   *
   * @param begun whether the caller has a part of the answer
   */
  static AttemptResult error(ResponseHead head, HttpResponse response, boolean begun) {
    AttemptOutcome outcome =
        head.misdirected()
            ? AttemptOutcome.MISDIRECTED
            : head.notRun() ? AttemptOutcome.NO_ROOM : AttemptOutcome.FAILED;
    String reason =
        switch (outcome) {
          case MISDIRECTED -> "misdirected";
          case NO_ROOM -> "not_run";
          default -> "status";
        };
    return new AttemptResult(
        outcome, response.status().code(), begun, true, Optional.empty(), reason);
  }
}
