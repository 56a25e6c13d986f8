package org.parsleyhead.integration.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.core.ticket.Ticket;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

@Tag("long-running")
@DisplayName("Owners of engines that ignore fencing numbers and have fewer slots than adapters")
class EngineOwnershipTests {

  private static final ChatDriver.Load LOAD = new ChatDriver.Load(16, 10, 5, 60, 61);
  private static final Duration PAUSE_BETWEEN_FAULTS = Duration.ofSeconds(20);

  /** A new owner evicts nothing until all pins that it does not know have expired. */
  private static final Duration EVICTION_DELAY_AFTER_START = Duration.ofSeconds(20);

  private static final Duration SHORT_FAULT = Duration.ofSeconds(2);
  private static final Duration LONG_FAULT = Duration.ofSeconds(15);

  @TempDir private Path directory;

  @Test
  @DisplayName("never evict an adapter in use, even when hosts are paused or killed")
  void neverEvictsAdaptersInUse() {
    StandinLayout layout =
        StandinLayout.onFreePorts(3, List.of())
            .withExtraSettings(
                "engines.checks_fencing = false\nengines.adapter_slots = 4\n"
                    + "weights.loads_per_second = 20\nweights.burst = 20");
    Map<String, String> settings =
        Map.of("weight_store.loads_per_second", "20.0", "repeats.window", "\"11 s\"");
    try (LocalFleet fleet =
        Fleets.start(
            directory,
            layout,
            3,
            settings,
            SampleTickets.first(layout, 10, 1_000_000, 9_000_000))) {
      declareWithoutFencing(fleet, layout);
      ChatDriver driver = ChatDriver.start(fleet.hosts(), LOAD);
      int faults;
      try (FaultSchedule schedule = FaultSchedule.start(faultCycle(fleet), PAUSE_BETWEEN_FAULTS)) {
        while (schedule.injectedCount() < faultCycle(fleet).size()) {
          sleep();
        }
        faults = schedule.injectedCount();
      }
      sleep();
      driver.close();
      List<String> ledger = fleet.standins().fetchLedger();
      long unloads = countLines(ledger, "\"kind\":\"unload\"");
      System.out.println(
          "faults="
              + faults
              + " loads="
              + countLines(ledger, "\"kind\":\"load\"")
              + " unloads="
              + unloads
              + " whole="
              + driver.completeCount()
              + " refused="
              + driver.refusals());
      assertEquals(
          List.of(),
          ledger.stream().filter(line -> line.contains("\"outcome\":\"violation\"")).toList());
      assertTrue(unloads > 0, "expected evictions");
      assertTrue(driver.completeCount() > 0, "expected complete answers");
      assertEquals(
          List.of(),
          driver.problems().stream().filter(problem -> problem.contains("text differs")).toList());
    }
  }

  private static void declareWithoutFencing(LocalFleet fleet, StandinLayout layout) {
    List<Ticket> tickets = new ArrayList<>();
    layout
        .engines()
        .forEach(
            (name, endpoint) ->
                tickets.add(
                    SampleTickets.upstream(
                        tickets.size() + 2, SampleTickets.engine(name, endpoint, false))));
    tickets.forEach(fleet.standins()::publish);
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, tickets.size() + 1));
  }

  private static long countLines(List<String> ledger, String part) {
    return ledger.stream().filter(line -> line.contains(part)).count();
  }

  private static List<FaultSchedule.Fault> faultCycle(LocalFleet fleet) {
    EntryHost killed = fleet.hosts().get(0);
    EntryHost paused = fleet.hosts().get(1);
    return List.of(
        new FaultSchedule.Fault(() -> {}, EVICTION_DELAY_AFTER_START, () -> {}),
        new FaultSchedule.Fault(
            () -> fleet.process(killed).kill(), SHORT_FAULT, () -> fleet.startEntry(killed)),
        new FaultSchedule.Fault(
            () -> fleet.process(paused).signal("STOP"),
            LONG_FAULT,
            () -> fleet.process(paused).signal("CONT")));
  }

  private static void sleep() {
    try {
      Thread.sleep(SHORT_FAULT.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
