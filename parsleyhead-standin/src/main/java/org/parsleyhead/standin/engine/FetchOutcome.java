package org.parsleyhead.standin.engine;

import java.util.Optional;

/**
 * How a fetch of weights ended.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status 200 if the weights arrived, else the status to answer with
 * @param retryAfter the value of {@code Retry-After}
 */
record FetchOutcome(int status, Optional<String> retryAfter) {

  static final FetchOutcome SUCCEEDED = new FetchOutcome(200, Optional.empty());

  boolean succeeded() {
    return status == 200;
  }
}
