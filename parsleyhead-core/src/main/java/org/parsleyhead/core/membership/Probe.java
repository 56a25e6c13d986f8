package org.parsleyhead.core.membership;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;

/**
 * Asks a host to confirm that it is alive.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce identifies this probe
 * @param updates liveness updates, at most {@value FailureDetector#MAXIMUM_UPDATES}
 */
public record Probe(long nonce, List<LivenessUpdate> updates) implements PeerMessage {

  /** Validates the number of updates and copies them. */
  public Probe {
    updates = FailureDetector.boundedCopy(updates);
  }
}
