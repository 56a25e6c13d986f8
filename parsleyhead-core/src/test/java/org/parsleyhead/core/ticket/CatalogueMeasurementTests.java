package org.parsleyhead.core.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.AdapterName;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.ModelName;
import org.parsleyhead.core.api.TicketNumber;

@Tag("long-running")
@DisplayName("The cost of a catalogue")
class CatalogueMeasurementTests {

  private static final int MERGES = 20_000;
  private static final int LOOKUPS = 1_000_000;

  private static AdapterItem adapter(int index, int version) {
    return new AdapterItem(
        new AdapterName("bottling-floor-assistant-" + index),
        new ModelName("base-model-large"),
        Set.of(version),
        "/weights/adapters/bottling-floor-assistant-" + index,
        Set.of(new ClientAccountName("account-" + index % 5)));
  }

  private static Catalogue catalogueOf(int adapters) {
    Catalogue catalogue = Catalogue.empty();
    for (int index = 0; index < adapters; index++) {
      AdapterItem item = adapter(index, 1);
      catalogue =
          catalogue.merge(item.key(), new VersionedItem(new TicketNumber(1), Optional.of(item)));
    }
    return catalogue;
  }

  private static long usedBytes() throws InterruptedException {
    for (int round = 0; round < 3; round++) {
      System.gc();
      Thread.sleep(100);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  @ParameterizedTest
  @ValueSource(ints = {3_000, 12_000, 43_000, 86_000})
  @DisplayName("is printed for several numbers of adapters")
  void printsCost(int adapters) throws InterruptedException {
    catalogueOf(adapters);
    long before = usedBytes();
    long start = System.nanoTime();
    Catalogue catalogue = catalogueOf(adapters);
    final long fill = System.nanoTime() - start;
    final long bytes = usedBytes() - before;
    List<Ticket> tickets = new ArrayList<>();
    for (int number = 0; number < MERGES; number++) {
      tickets.add(
          new Ticket(
              new TicketNumber(number + 2),
              List.of(Change.put(adapter(number * 31 % adapters, 2)))));
    }
    start = System.nanoTime();
    Catalogue merged = catalogue;
    for (Ticket ticket : tickets) {
      merged = merged.merge(ticket);
    }
    final long merge = System.nanoTime() - start;
    start = System.nanoTime();
    int found = 0;
    for (int lookup = 0; lookup < LOOKUPS; lookup++) {
      AdapterName name =
          tickets
              .get(lookup % MERGES)
              .changes()
              .get(0)
              .item()
              .map(AdapterItem.class::cast)
              .orElseThrow()
              .name();
      found += merged.adapter(name).isPresent() ? 1 : 0;
    }
    final long lookup = System.nanoTime() - start;
    assertEquals(LOOKUPS, found);
    start = System.nanoTime();
    int listed = merged.itemsIn(Set.of(7)).size();
    final long scan = System.nanoTime() - start;
    System.out.printf(
        "adapters=%d fill_milliseconds=%d bytes_per_adapter=%d merge_nanoseconds=%d"
            + " lookup_nanoseconds=%d bucket_items=%d bucket_scan_microseconds=%d%n",
        adapters,
        fill / 1_000_000,
        bytes / adapters,
        merge / MERGES,
        lookup / LOOKUPS,
        listed,
        scan / 1_000);
  }
}
