package org.parsleyhead.core.engine;

import java.time.Duration;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Permits one transfer from the weight store.
 *
 * <p>The transfer has to start within the start window. The window begins when the permit request
 * is sent, measured on the clock of the requesting host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requester the incarnation of the requesting process
 * @param number the number of the permit request
 * @param startWindow the time from the permit request within which the transfer has to start
 */
public record PermitGrant(Incarnation requester, long number, Duration startWindow)
    implements PeerMessage {

  /** Validates the components. */
  public PermitGrant {
    Preconditions.requireNonNull(requester, "requester");
    Preconditions.requireNonNegative(number, "number");
    Preconditions.requireNonNull(startWindow, "startWindow");
  }
}
