package org.parsleyhead.entry.upstream;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * Timeouts of connections to upstreams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout the maximum time to open a connection
 * @param progressTimeout the maximum time between two reads of a stream; after it, the stream is
 *     resumed on a new connection
 * @param answerTimeout the maximum time between two reads of a response that is not streamed
 */
public record UpstreamSettings(
    Duration connectTimeout, Duration progressTimeout, Duration answerTimeout) {

  /** Validates the components. */
  public UpstreamSettings {
    Preconditions.requireNonNull(connectTimeout, "connectTimeout");
    Preconditions.requireNonNull(progressTimeout, "progressTimeout");
    Preconditions.requireNonNull(answerTimeout, "answerTimeout");
  }
}
