package org.parsleyhead.core.membership;

import java.util.List;
import org.parsleyhead.core.api.PeerMessage;

/**
 * Asks a host for a sign of life.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce a number that identifies this probe
 * @param updates opinions on hosts, at most {@value FailureDetector#MAXIMUM_UPDATES}
 */
public record Probe(long nonce, List<LivenessUpdate> updates) implements PeerMessage {

  /** Copies and bounds the opinions. */
  public Probe {
    updates = FailureDetector.boundedCopy(updates);
  }
}
