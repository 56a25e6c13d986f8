package org.parsleyhead.core.membership;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Asks a host to probe another host that did not answer the sender.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the nonce of the sender's probe
 * @param target the host to probe
 */
public record ProbeRelay(long nonce, HostName target) implements PeerMessage {

  /** Validates the target. */
  public ProbeRelay {
    Preconditions.requireNonNull(target, "target");
  }
}
