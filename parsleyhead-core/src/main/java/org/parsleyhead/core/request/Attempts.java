package org.parsleyhead.core.request;

import java.util.Optional;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The attempts of one request at upstreams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count how often the request was sent; the number of the last attempt
 * @param upstream the upstream of the running attempt
 * @param excluded the upstream that failed the request last, if one did
 * @param mayHaveRun whether any attempt may have run
 * @param answerStarted whether the caller has a part of the answer
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
