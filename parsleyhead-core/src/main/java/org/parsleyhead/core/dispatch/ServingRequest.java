package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Rendezvous;

/**
 * The metadata of a request as received from a caller.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the number of the request, unique on this host
 * @param identifier the request identifier from the caller; empty if there is none
 * @param host the requested host name, without a port
 * @param path the path, without a query
 * @param credential the key that the request carries
 * @param callerTimeout how long the caller waits for the response
 * @param work the inference that is asked of a model server; empty for plain services
 */
public record ServingRequest(
    long key,
    String identifier,
    String host,
    String path,
    Optional<String> credential,
    Optional<Duration> callerTimeout,
    Optional<ModelWork> work) {

  /** Validates the components. */
  public ServingRequest {
    Preconditions.requireNonNull(identifier, "identifier");
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNull(path, "path");
    Preconditions.requireNonNull(credential, "credential");
    Preconditions.requireNonNull(callerTimeout, "callerTimeout");
    Preconditions.requireNonNull(work, "work");
  }

  /** Returns a hash of the identifier, equal on all hosts. */
  long hash() {
    return Rendezvous.hash(identifier);
  }
}
