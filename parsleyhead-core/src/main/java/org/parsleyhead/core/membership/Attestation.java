package org.parsleyhead.core.membership;

import java.time.Duration;
import org.parsleyhead.core.api.Incarnation;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Promises that the sender does not use rights that belong to the receiver, from when it sends this
 * message until the duration has elapsed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nonce the nonce of the request that is answered
 * @param incarnation the run of the receiver's process that the promise applies to
 * @param listVersion the version of the host list in use by the sender
 * @param duration how long the promise binds the sender
 */
public record Attestation(long nonce, Incarnation incarnation, long listVersion, Duration duration)
    implements PeerMessage {

  /** The maximum duration of an attestation. */
  public static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

  /** Validates the components. */
  public Attestation {
    Preconditions.requireNonNull(incarnation, "incarnation");
    Preconditions.requireNonNegative(listVersion, "listVersion");
    Preconditions.requireNonNull(duration, "duration");
    Preconditions.require(!duration.isNegative(), "duration", "must not be negative");
    Preconditions.require(
        duration.compareTo(MAXIMUM_DURATION) <= 0, "duration", "must be at most an hour");
  }
}
