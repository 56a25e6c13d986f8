package org.parsleyhead.entry.callers;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.Preconditions;

/**
 * Settings of the server for callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint to which callers connect
 * @param maximumHeaderBytes the maximum size of the header section, in bytes
 * @param maximumBodyBytes the maximum size of a body, in bytes
 * @param receiveTimeout the maximum time from the first byte of a request to its last
 * @param idleTimeout the maximum time between two requests on a connection
 * @param maximumPendingBytes the maximum number of unsent response bytes buffered for a caller; a
 *     slower caller is disconnected
 */
public record CallerSettings(
    Endpoint endpoint,
    int maximumHeaderBytes,
    int maximumBodyBytes,
    Duration receiveTimeout,
    Duration idleTimeout,
    int maximumPendingBytes) {

  /** Validates the components. */
  public CallerSettings {
    Preconditions.requireNonNull(endpoint, "endpoint");
    Preconditions.requirePositive(maximumHeaderBytes, "maximumHeaderBytes");
    Preconditions.requirePositive(maximumBodyBytes, "maximumBodyBytes");
    Preconditions.requireNonNull(receiveTimeout, "receiveTimeout");
    Preconditions.requireNonNull(idleTimeout, "idleTimeout");
    Preconditions.requirePositive(maximumPendingBytes, "maximumPendingBytes");
  }
}
