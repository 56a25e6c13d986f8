package org.parsleyhead.entry.upstream;

import java.time.Duration;
import org.parsleyhead.core.api.Preconditions;

/**
 * The limits of connections to upstreams.
 *
 * <p>Immutable and thread-safe.
 *
 * @param connectTimeout the longest time for a connection to open
 * @param progressTimeout the longest silence of a stream; then it is resumed on a new connection
 * @param answerTimeout the longest silence of an upstream that answers in one piece
 */
public record UpstreamSettings(
    Duration connectTimeout, Duration progressTimeout, Duration answerTimeout) {

  /** Checks the limits. */
  public UpstreamSettings {
    Preconditions.requireNonNull(connectTimeout, "connectTimeout");
    Preconditions.requireNonNull(progressTimeout, "progressTimeout");
    Preconditions.requireNonNull(answerTimeout, "answerTimeout");
  }
}
