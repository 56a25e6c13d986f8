package org.parsleyhead.core.quota;

import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.TicketNumber;

/**
 * The limits of a client account as declared by a ticket.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ticket the number of the ticket
 * @param tokensPerSecond the rate in tokens per second, at most {@link QuotaUnits#MAXIMUM_LIMIT}
 * @param burstTokens the burst in tokens, at most {@link QuotaUnits#MAXIMUM_LIMIT}
 */
public record Limits(TicketNumber ticket, long tokensPerSecond, long burstTokens) {

  /** Validates the components and caps the limits at {@link QuotaUnits#MAXIMUM_LIMIT}. */
  public Limits {
    Preconditions.requireNonNull(ticket, "ticket");
    Preconditions.requireNonNegative(tokensPerSecond, "tokensPerSecond");
    Preconditions.requireNonNegative(burstTokens, "burstTokens");
    tokensPerSecond = Math.min(tokensPerSecond, QuotaUnits.MAXIMUM_LIMIT);
    burstTokens = Math.min(burstTokens, QuotaUnits.MAXIMUM_LIMIT);
  }

  /** Returns the limits of an account deleted by a ticket. */
  static Limits deleted(TicketNumber ticket) {
    return new Limits(ticket, 0, 0);
  }

  /** Returns whether no tokens are allowed, as for a deleted account. */
  boolean isEmpty() {
    return tokensPerSecond == 0 && burstTokens == 0;
  }

  /** Returns the burst of a number of parts, in microtokens. */
  long capacity(long parts) {
    return burstTokens * parts;
  }

  /** Returns the rate of a number of parts, in microtokens per second. */
  long rate(long parts) {
    return tokensPerSecond * parts;
  }
}
