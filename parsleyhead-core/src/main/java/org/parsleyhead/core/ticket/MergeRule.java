package org.parsleyhead.core.ticket;

import org.parsleyhead.core.api.TicketNumber;

/**
 * Decides whether a received state of an item replaces the known state.
 *
 * <p>Implementations are pure.
 */
@FunctionalInterface
interface MergeRule {

  /** The highest ticket number wins. */
  MergeRule HIGHEST_NUMBER = TicketNumber::supersedes;

  /** Returns whether the state with the received number replaces the one with the known number. */
  boolean replaces(TicketNumber received, TicketNumber known);
}
