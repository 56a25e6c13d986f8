package org.parsleyhead.core.serving;

import java.time.Duration;

/**
 * The size and time limits for requests of callers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maximumHeaderBytes the maximum size of a request head, in bytes
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time to receive a request head
 * @param idleTimeout the maximum time between two requests of a connection
 */
public record RequestLimits(
    int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** The limits until a catalogue is received; equal to those of the known deployments. */
  public static final RequestLimits INITIAL =
      new RequestLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
