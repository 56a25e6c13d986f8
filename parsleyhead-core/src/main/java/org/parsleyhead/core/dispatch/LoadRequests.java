package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * The load requests of one request so far.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ownerExpectedAt when a host was last expected to be able to order loads for the request
 * @param count the number of load requests in a row
 * @param lastAt when the last one was made
 */
record LoadRequests(
    Optional<MonotonicTime> ownerExpectedAt, int count, Optional<MonotonicTime> lastAt) {

  static final LoadRequests NONE = new LoadRequests(Optional.empty(), 0, Optional.empty());

  LoadRequests withWait() {
    return new LoadRequests(ownerExpectedAt, count + 1, lastAt);
  }

  LoadRequests withRequest(MonotonicTime time) {
    return new LoadRequests(ownerExpectedAt, count + 1, Optional.of(time));
  }

  LoadRequests withOwnerExpected(MonotonicTime time) {
    return new LoadRequests(Optional.of(time), count, lastAt);
  }

  /** Returns these requests when another row of them may begin. */
  LoadRequests withoutRow() {
    return new LoadRequests(ownerExpectedAt, 0, lastAt);
  }
}
