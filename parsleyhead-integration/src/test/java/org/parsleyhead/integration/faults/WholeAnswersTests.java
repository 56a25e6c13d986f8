package org.parsleyhead.integration.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

@Tag("long-running")
@DisplayName("A stream whose engine fails")
class WholeAnswersTests {

  private static final long SEED = 31;
  private static final ChatDriver.Load LOAD = new ChatDriver.Load(12, 2, 40, 120, SEED);
  private static final Duration FAULT_DURATION = Duration.ofMillis(500);
  private static final Duration SILENCE_DURATION = Duration.ofSeconds(4);
  private static final Duration PAUSE_BETWEEN_FAULTS = Duration.ofMillis(1_500);
  private static final Duration TIMEOUT = Duration.ofSeconds(120);
  private static final int MINIMUM_COMPLETE_ANSWERS = 300;

  @TempDir private Path directory;

  @Test
  @DisplayName("is resumed on another engine with each token once and correct usage")
  void deliversEachTokenOnce() {
    Map<String, String> settings =
        Map.of(
            "upstreams.progress_timeout", "\"2 s\"",
            "requests.retry_ratio", "1.0",
            "requests.maximum_retry_credit", "1000.0");
    StandinLayout layout = StandinLayout.onFreePorts(3, List.of()).withProxiesBeforeUpstreams();
    try (LocalFleet fleet =
        Fleets.start(
            directory,
            layout,
            2,
            settings,
            SampleTickets.first(layout, 2, 1_000_000, 10_000_000))) {
      ChatDriver driver = ChatDriver.start(fleet.hosts(), LOAD);
      int faults;
      try (FaultSchedule schedule = FaultSchedule.start(faultCycle(fleet), PAUSE_BETWEEN_FAULTS)) {
        FleetHttpClient.await(
            "complete answers and a full cycle of faults",
            TIMEOUT,
            () ->
                driver.completeCount() >= MINIMUM_COMPLETE_ANSWERS
                    && schedule.injectedCount() >= faultCycle(fleet).size());
        faults = schedule.injectedCount();
      }
      driver.close();
      long resumed =
          fleet.standins().fetchLedger().stream()
              .filter(line -> line.toLowerCase(Locale.ROOT).contains("resume-from"))
              .count();
      System.out.println(
          "faults="
              + faults
              + " whole="
              + driver.completeCount()
              + " resumed="
              + resumed
              + " refused="
              + driver.refusals());
      assertEquals(List.of(), driver.problems());
      assertEquals(List.of(), driver.unanswered());
      assertTrue(resumed > 0, "expected resumed streams");
    }
  }

  private static List<FaultSchedule.Fault> faultCycle(LocalFleet fleet) {
    return List.of(
        fault(fleet, "engine-1", "{\"scope\":\"all\",\"to_caller\":{\"reset_after_bytes\":3000}}"),
        silence(fleet, "engine-2", "hold"),
        new FaultSchedule.Fault(
            () -> fleet.standins().restartEngine("engine-3"), FAULT_DURATION, () -> {}),
        silence(fleet, "engine-1", "swallow"),
        fault(fleet, "engine-2", "{\"scope\":\"all\",\"cut\":true}"),
        new FaultSchedule.Fault(
            () -> fleet.standins().setMode("engine-3", "resetting"),
            FAULT_DURATION,
            () -> fleet.standins().setMode("engine-3", "up")));
  }

  /**
   * Silences the open connections for longer than the progress timeout. They are cut afterwards,
   * since a connection never delivers bytes that follow lost ones.
   */
  private static FaultSchedule.Fault silence(LocalFleet fleet, String engine, String mode) {
    return new FaultSchedule.Fault(
        () ->
            fleet
                .standins()
                .setFault(engine, "{\"scope\":\"open\",\"to_caller\":{\"mode\":\"" + mode + "\"}}"),
        SILENCE_DURATION,
        () -> {
          fleet.standins().setFault(engine, "{\"scope\":\"open\",\"cut\":true}");
          fleet.standins().setFault(engine, "{}");
        });
  }

  private static FaultSchedule.Fault fault(LocalFleet fleet, String engine, String fault) {
    return new FaultSchedule.Fault(
        () -> fleet.standins().setFault(engine, fault),
        FAULT_DURATION,
        () -> fleet.standins().setFault(engine, "{}"));
  }
}
