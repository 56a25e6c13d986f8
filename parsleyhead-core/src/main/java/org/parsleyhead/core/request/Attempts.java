package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The attempts to send one request to upstreams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the number of attempts so far, which is also the number of the latest attempt
 * @param upstream the upstream of the running attempt; empty if none is running
 * @param excluded the upstream of the latest failed attempt, which the next attempt avoids; may be
 *     empty
 * @param mayHaveRun whether an upstream may have run the request in any attempt
 * @param answerStarted whether a part of the answer was passed to the caller
 */
record Attempts(
    int count,
    Optional<UpstreamName> upstream,
    PSet<UpstreamName> excluded,
    boolean mayHaveRun,
    boolean answerStarted) {

  static final Attempts NONE =
      new Attempts(0, Optional.empty(), HashTreePSet.empty(), false, false);

  Attempts next(UpstreamName chosen) {
    return new Attempts(count + 1, Optional.of(chosen), excluded, mayHaveRun, answerStarted);
  }

  Attempts withoutExclusion() {
    return new Attempts(count, upstream, HashTreePSet.empty(), mayHaveRun, answerStarted);
  }

  Attempts withAnswerStarted() {
    return new Attempts(count, upstream, excluded, true, true);
  }

  Attempts withMayHaveRun() {
    return new Attempts(count, upstream, excluded, true, answerStarted);
  }

  Attempts failed(FailureStage stage) {
    return new Attempts(
        count,
        Optional.empty(),
        stage == FailureStage.TOO_LATE
            ? excluded
            : upstream.<PSet<UpstreamName>>map(HashTreePSet::singleton).orElse(excluded),
        mayHaveRun || !stage.certainlyNotRun(),
        answerStarted);
  }
}
