package org.parsleyhead.core.membership;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;

/**
 * Answers a probe, or reports that a relayed probe was answered.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the nonce of the probe that is answered
 * @param updates liveness updates, at most {@value FailureDetector#MAXIMUM_UPDATES}
 */
public record ProbeAnswer(long nonce, List<LivenessUpdate> updates) implements PeerMessage {

  /** Validates the number of updates and copies them. */
  public ProbeAnswer {
    updates = FailureDetector.boundedCopy(updates);
  }
}
