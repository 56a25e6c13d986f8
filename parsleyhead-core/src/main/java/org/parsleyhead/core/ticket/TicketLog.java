package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import org.pcollections.TreePMap;

/**
 * The last merged tickets, kept to be passed on to hosts that missed a few.
 *
 * <p>Immutable and thread-safe. At most {@value #MAXIMUM_TICKETS} tickets of at most {@value
 * #MAXIMUM_CHANGES} changes each are kept.
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

  /** Tells whether a ticket is so short that it is passed on as it was published. */
  static boolean isShort(List<TicketFragment> fragments) {
    return fragments.size() == 1 && fragments.get(0).changes().size() <= MAXIMUM_CHANGES;
  }

  /** Returns all tickets above one number and up to another; empty if one is not kept. */
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
