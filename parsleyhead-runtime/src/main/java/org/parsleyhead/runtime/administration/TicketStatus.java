package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The tickets applied on a host.
 *
 * <p>Immutable and thread-safe. Two hosts with equal digests hold the same items.
 *
 * @param host the name of the host
 * @param appliedThrough the number up to which the host has applied all tickets
 * @param highestKnown the highest ticket number known to the host, applied or not
 * @param items the number of declared items, tombstones included
 * @param digest a digest of all items with their ticket numbers, in hexadecimal
 * @param source the configuration service or the host from which the applied ticket was received
 */
public record TicketStatus(
    HostName host,
    TicketNumber appliedThrough,
    TicketNumber highestKnown,
    long items,
    String digest,
    String source) {

  /** Requires all components; the number of items must not be negative. */
  public TicketStatus {
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNull(appliedThrough, "in_force");
    Preconditions.requireNonNull(highestKnown, "heard_of");
    Preconditions.requireNonNegative(items, "items");
    Preconditions.requireNonNull(digest, "digest");
    Preconditions.requireNonNull(source, "heard_from");
  }
}
