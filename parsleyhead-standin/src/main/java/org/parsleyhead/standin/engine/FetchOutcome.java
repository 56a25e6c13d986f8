package org.parsleyhead.standin.engine;

import java.util.Optional;

/**
 * The outcome of a fetch of weights.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status 200 if the weights were fetched, otherwise the status of the failure
 * @param retryAfter the value of the {@code Retry-After} header
 */
record FetchOutcome(int status, Optional<String> retryAfter) {

  static final FetchOutcome SUCCEEDED = new FetchOutcome(200, Optional.empty());

  boolean succeeded() {
    return status == 200;
  }
}
