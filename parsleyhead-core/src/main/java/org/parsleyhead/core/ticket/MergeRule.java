package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.TicketNumber;

/**
 * Decides whether news of an item replaces what is known.
 *
 * <p>Implementations are pure.
 */
@FunctionalInterface
interface MergeRule {

  /** The highest ticket number wins. */
  MergeRule HIGHEST_NUMBER = TicketNumber::supersedes;

  /** Tells whether the heard number replaces the known one. */
  boolean replaces(TicketNumber heard, TicketNumber known);
}
