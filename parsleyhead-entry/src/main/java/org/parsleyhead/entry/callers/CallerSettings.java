package org.parsleyhead.entry.callers;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.Preconditions;

/**
 * The limits of the callers' port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint where callers connect
 * @param maximumHeaderBytes the longest header section
 * @param maximumBodyBytes the longest body
 * @param receiveTimeout the longest time from the first byte of a request to its last
 * @param idleTimeout the longest time between two requests on a connection
 * @param maximumPendingBytes the most bytes of an answer that wait for a slow caller
 */
public record CallerSettings(
    Endpoint endpoint,
    int maximumHeaderBytes,
    int maximumBodyBytes,
    Duration receiveTimeout,
    Duration idleTimeout,
    int maximumPendingBytes) {

  /** Checks the limits. */
  public CallerSettings {
    Preconditions.requireNonNull(endpoint, "endpoint");
    Preconditions.requirePositive(maximumHeaderBytes, "maximumHeaderBytes");
    Preconditions.requirePositive(maximumBodyBytes, "maximumBodyBytes");
    Preconditions.requireNonNull(receiveTimeout, "receiveTimeout");
    Preconditions.requireNonNull(idleTimeout, "idleTimeout");
    Preconditions.requirePositive(maximumPendingBytes, "maximumPendingBytes");
  }
}
