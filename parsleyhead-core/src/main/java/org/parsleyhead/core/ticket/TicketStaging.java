package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pcollections.TreePMap;

/**
 * The parts of incomplete tickets, kept until all parts of a ticket are available.
 *
 * <p>Immutable and thread-safe. Keeps at most {@value #MAXIMUM_TICKETS} tickets and evicts the
 * lowest number first.
 */
record TicketStaging(TreePMap<Long, TreePMap<Integer, TicketFragment>> tickets) {

  static final TicketStaging EMPTY = new TicketStaging(TreePMap.empty());

  private static final int MAXIMUM_TICKETS = 32;

  TicketStaging plus(TicketFragment fragment) {
    long number = fragment.number().value();
    TreePMap<Integer, TicketFragment> known = tickets.getOrDefault(number, TreePMap.empty());
    boolean samePartCount =
        known.isEmpty() || known.firstEntry().getValue().parts() == fragment.parts();
    TreePMap<Integer, TicketFragment> parts = samePartCount ? known : TreePMap.empty();
    TreePMap<Long, TreePMap<Integer, TicketFragment>> staged =
        tickets.plus(number, parts.plus(fragment.part(), fragment));
    return new TicketStaging(
        staged.size() > MAXIMUM_TICKETS ? staged.minus(staged.firstKey()) : staged);
  }

  TicketStaging minus(long number) {
    return new TicketStaging(tickets.minus(number));
  }

  /** Returns the fragments of a ticket in order, if all are available. */
  Optional<List<TicketFragment>> complete(long number) {
    TreePMap<Integer, TicketFragment> parts = tickets.get(number);
    if (parts == null || parts.size() < parts.firstEntry().getValue().parts()) {
      return Optional.empty();
    }
    return Optional.of(new ArrayList<>(parts.values()));
  }
}
