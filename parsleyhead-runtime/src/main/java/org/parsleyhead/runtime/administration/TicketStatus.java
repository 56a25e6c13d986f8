package org.parsleyhead.runtime.administration;

import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * Which tickets are in force on a host.
 *
 * <p>Immutable and thread-safe. Two hosts with equal digests hold the same items.
 *
 * @param host the host
 * @param inForce the highest ticket that is in force
 * @param heardOf the highest ticket that the host has heard of, in force or not
 * @param items how many items are declared, tombstones included
 * @param digest a digest of all items with their ticket numbers, in hexadecimal
 * @param heardFrom from whom the ticket in force was heard
 */
public record TicketStatus(
    HostName host,
    TicketNumber inForce,
    TicketNumber heardOf,
    long items,
    String digest,
    String heardFrom) {

  /** Checks the parts. */
  public TicketStatus {
    Preconditions.requireNonNull(host, "host");
    Preconditions.requireNonNull(inForce, "in_force");
    Preconditions.requireNonNull(heardOf, "heard_of");
    Preconditions.requireNonNegative(items, "items");
    Preconditions.requireNonNull(digest, "digest");
    Preconditions.requireNonNull(heardFrom, "heard_from");
  }
}
