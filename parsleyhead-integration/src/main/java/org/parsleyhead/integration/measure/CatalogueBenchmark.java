package org.parsleyhead.integration.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.Change;
import org.parsleyhead.core.ticket.Ticket;

/**
 * Measures memory, merges and lookups of the catalogue for a number of adapters. Stateless and
 * thread-safe.
 */
final class CatalogueBenchmark {

  private static final int CHANGES_PER_TICKET = 1_000;
  private static final int SINGLE_CHANGES = 5_000;
  private static final int LOOKUPS = 200_000;
  private static final int ACCOUNTS = 5;
  private static final long SEED = 1;

  private CatalogueBenchmark() {}

  /** Measures a catalogue with a number of adapters. */
  static ReportRow measure(int adapters) {
    final int tickets = tickets(adapters).size();
    long before = ResourceUsage.usedHeapBytes();
    Catalogue[] catalogue = {build(tickets(adapters))};
    final long bytes = ResourceUsage.usedHeapBytes() - before;
    List<Ticket> declaringTickets = tickets(adapters);
    double merge =
        ResourceUsage.meanCpuMicroseconds(adapters, () -> catalogue[0] = build(declaringTickets));
    double single =
        ResourceUsage.meanCpuMicroseconds(
            SINGLE_CHANGES, () -> catalogue[0] = change(catalogue[0], adapters, tickets));
    double lookup =
        ResourceUsage.meanCpuMicroseconds(LOOKUPS, () -> lookUp(catalogue[0], adapters));
    return ReportRow.of("catalogue_by_adapters")
        .with("adapters", adapters)
        .with("bytes_per_adapter", (double) bytes / adapters)
        .with("merge_microseconds_per_adapter", merge)
        .with("single_change_microseconds", single)
        .with("lookup_microseconds", lookup);
  }

  private static Catalogue build(List<Ticket> tickets) {
    Catalogue catalogue = Catalogue.empty();
    for (Ticket ticket : tickets) {
      catalogue = catalogue.merge(ticket);
    }
    return catalogue;
  }

  private static Catalogue change(Catalogue previous, int adapters, int tickets) {
    Random random = new Random(SEED);
    Catalogue catalogue = previous;
    for (int count = 1; count <= SINGLE_CHANGES; count++) {
      Change change = Change.put(adapter(random.nextInt(adapters), 2));
      catalogue =
          catalogue.merge(new Ticket(new TicketNumber((long) tickets + count), List.of(change)));
    }
    return catalogue;
  }

  private static void lookUp(Catalogue catalogue, int adapters) {
    Random random = new Random(SEED);
    for (int count = 0; count < LOOKUPS; count++) {
      catalogue.adapter(name(random.nextInt(adapters))).orElseThrow();
    }
  }

  private static List<Ticket> tickets(int adapters) {
    List<Ticket> tickets = new ArrayList<>();
    for (int first = 0; first < adapters; first += CHANGES_PER_TICKET) {
      List<Change> changes = new ArrayList<>();
      for (int index = first; index < Math.min(adapters, first + CHANGES_PER_TICKET); index++) {
        changes.add(Change.put(adapter(index, 1)));
      }
      tickets.add(new Ticket(new TicketNumber(tickets.size() + 1L), changes));
    }
    return tickets;
  }

  private static AdapterName name(int index) {
    return new AdapterName("bottling-floor-assistant-" + index);
  }

  private static AdapterItem adapter(int index, int version) {
    return new AdapterItem(
        name(index),
        new ModelName("base"),
        Set.of(version),
        "weights/bottling-floor-assistant-" + index,
        Set.of(new ClientAccountName("account-" + index % ACCOUNTS)));
  }
}
