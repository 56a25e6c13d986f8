package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import org.pcollections.TreePMap;

/**
 * The log of recently merged tickets, sent to hosts that lack a few of them.
 *
 * <p>Immutable and thread-safe. Keeps at most {@value #MAXIMUM_TICKETS} tickets with at most
 * {@value #MAXIMUM_CHANGES} changes each and evicts the lowest number first.
 */
record TicketLog(TreePMap<Long, TicketFragment> tickets) {

  static final TicketLog EMPTY = new TicketLog(TreePMap.empty());

  private static final int MAXIMUM_TICKETS = 256;
  private static final int MAXIMUM_CHANGES = 32;

  TicketLog plus(List<TicketFragment> fragments) {
    if (!isShort(fragments)) {
      return this;
    }
    TicketFragment whole = fragments.get(0);
    TreePMap<Long, TicketFragment> kept = tickets.plus(whole.number().value(), whole);
    return new TicketLog(kept.size() > MAXIMUM_TICKETS ? kept.minus(kept.firstKey()) : kept);
  }

  /** Returns whether a ticket is short enough to be forwarded as it was published. */
  static boolean isShort(List<TicketFragment> fragments) {
    return fragments.size() == 1 && fragments.get(0).changes().size() <= MAXIMUM_CHANGES;
  }

  /**
   * Returns all tickets with numbers above {@code above} and up to {@code through}; empty if the
   * log lacks any of them.
   */
  List<TicketFragment> between(long above, long through) {
    if (through - above > MAXIMUM_TICKETS) {
      return List.of();
    }
    List<TicketFragment> found = new ArrayList<>();
    for (long number = above + 1; number <= through; number++) {
      TicketFragment fragment = tickets.get(number);
      if (fragment == null) {
        return List.of();
      }
      found.add(fragment);
    }
    return found;
  }
}
