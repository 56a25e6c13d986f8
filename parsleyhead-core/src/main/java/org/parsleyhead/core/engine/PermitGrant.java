package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Permits one transfer.
 *
 * <p>The transfer has to start within the window after the permit request was sent, on the clock of
 * the host that asked.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requester the run of the process that asked
 * @param number the number of the permit request
 * @param startWindow within what time the transfer has to start
 */
public record PermitGrant(Incarnation requester, long number, Duration startWindow)
    implements PeerMessage {

  /** Checks and copies the parts. */
  public PermitGrant {
    Preconditions.requireNonNull(requester, "requester");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(startWindow, "startWindow");
  }
}
