package org.parsleyhead.core.ticket;

import java.time.Duration;
import org.parsleyhead.core.api.PeerMessage;
import org.parsleyhead.core.api.Preconditions;

/**
 * Summarizes the sender's catalogue, so that sender and receiver detect missing tickets and
 * differing items.
 *
 * <p>Immutable and thread-safe.
 *
 * @param mergedThrough the number up to which all tickets are merged
 * @param highest the highest ticket number that the sender has merged
 * @param digest the digest of the sender's catalogue
 * @param contactAge the age of the sender's last contact with the service, direct or reported by
 *     another host; at most {@link #MAXIMUM_AGE}
 * @param ready whether the sender is ready to serve callers
 * @param replyRequested whether the receiver should reply with its own summary
 */
public record ConfigurationSummary(
    long mergedThrough,
    long highest,
    long digest,
    Duration contactAge,
    boolean ready,
    boolean replyRequested)
    implements PeerMessage {

  /** The maximum reported age; also reported if the service has never answered. */
  public static final Duration MAXIMUM_AGE = Duration.ofDays(1);

  /** Validates the components and limits the age. */
  public ConfigurationSummary {
    Preconditions.requireNonNegative(mergedThrough, "mergedThrough");
    Preconditions.requireNonNegative(highest, "highest");
    Preconditions.requireNonNull(contactAge, "contactAge");
    Preconditions.require(!contactAge.isNegative(), "contactAge", "must not be negative");
    contactAge = contactAge.compareTo(MAXIMUM_AGE) > 0 ? MAXIMUM_AGE : contactAge;
  }
}
