package org.parsleyhead.core.membership;

import java.time.Duration;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * States that the sender uses nothing that belongs to the receiver and will not for a duration from
 * now on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the number of the request that is answered
 * @param incarnation the run of the receiver's process that this holds for
 * @param listVersion the version of the host list that the sender acts on
 * @param duration how long the sender is bound
 */
public record Attestation(long nonce, Incarnation incarnation, long listVersion, Duration duration)
    implements PeerMessage {

  /** The longest duration that is accepted. */
  public static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

  /** Checks the parts. */
  public Attestation {
    Preconditions.requireNonNull(incarnation, "incarnation");
    Preconditions.requireNonNegative(listVersion, "listVersion");
    Preconditions.requireNonNull(duration, "duration");
    Preconditions.require(!duration.isNegative(), "duration", "must not be negative");
    Preconditions.require(
        duration.compareTo(MAXIMUM_DURATION) <= 0, "duration", "must be at most an hour");
  }
}
