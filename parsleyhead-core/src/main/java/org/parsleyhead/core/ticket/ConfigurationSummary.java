package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Tells another host how far the sender's catalogue reaches, so that both find what one of them
 * lacks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mergedThrough the number up to which all tickets are merged
 * @param highest the highest ticket number that the sender has merged
 * @param digest the digest of the sender's catalogue
 * @param contactAge how long ago the service answered the sender, or a host that the sender heard
 *     of
 * @param ready whether the sender serves callers
 * @param answerWanted whether the sender asks for the receiver's summary
 */
public record ConfigurationSummary(
    long mergedThrough,
    long highest,
    long digest,
    Duration contactAge,
    boolean ready,
    boolean answerWanted)
    implements PeerMessage {

  /** The greatest age that is told; a service that never answered has it too. */
  public static final Duration MAXIMUM_AGE = Duration.ofDays(1);

  /** Checks the numbers and bounds the age. */
  public ConfigurationSummary {
    Preconditions.requireNonNegative(mergedThrough, "mergedThrough");
    Preconditions.requireNonNegative(highest, "highest");
    Preconditions.requireNonNull(contactAge, "contactAge");
    Preconditions.require(!contactAge.isNegative(), "contactAge", "must not be negative");
    contactAge = contactAge.compareTo(MAXIMUM_AGE) > 0 ? MAXIMUM_AGE : contactAge;
  }
}
