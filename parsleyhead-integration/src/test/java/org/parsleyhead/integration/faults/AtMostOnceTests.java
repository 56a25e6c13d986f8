package org.parsleyhead.integration.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.standin.ledger.LedgerCodec;
import org.parsleyhead.standin.ledger.LedgerEntry;

@Tag("long-running")
@DisplayName("A non-idempotent call")
class AtMostOnceTests {

  private static final long SEED = 20_261_204;
  private static final int CALLS = 10_000;
  private static final int HOSTS = 5;
  private static final Duration SHORT_FAULT = Duration.ofMillis(700);
  private static final Duration LONG_FAULT = Duration.ofSeconds(4);
  private static final Duration PAUSE_BETWEEN_FAULTS = Duration.ofMillis(300);
  private static final Duration REPEAT_DETECTION_TIMEOUT = Duration.ofSeconds(60);
  private static final String SERVICE = "service-1";

  @TempDir private Path directory;

  @Test
  @DisplayName(
      "runs at most once, and never after the outcome not_run, under faults and repeated sending")
  void runsAtMostOnce() {
    Map<String, String> settings =
        Map.of(
            "repeats.window", "\"11 s\"",
            "upstreams.answer_timeout", "\"3 s\"",
            "upstreams.progress_timeout", "\"2 s\"");
    try (LocalFleet fleet = Fleets.start(directory, layout(), HOSTS, settings)) {
      fleet.hosts().forEach(AtMostOnceTests::awaitRepeatDetection);
      CallOutcomes outcomes;
      int faults;
      try (FaultSchedule schedule = FaultSchedule.start(faultCycle(fleet), PAUSE_BETWEEN_FAULTS)) {
        outcomes = new CallDriver(fleet.hosts(), SEED).send(CALLS);
        faults = schedule.injectedCount();
      }
      List<LedgerEntry> ledger =
          fleet.standins().fetchLedger().stream()
              .map(LedgerCodec::decode)
              .filter(
                  entry -> entry.idempotencyKey().filter(AtMostOnceTests::isDriverKey).isPresent())
              .toList();
      System.out.println(
          "faults=" + faults + " runs=" + ledger.size() + " told=" + outcomes.counts());
      assertEquals(List.of(), outcomes.findViolations(ledger));
      assertTrue(ledger.size() > CALLS / 2, "expected most calls to run: " + ledger.size());
      assertTrue(
          faults >= faultCycle(fleet).size(), "expected each fault to be injected: " + faults);
    }
  }

  private static boolean isDriverKey(String key) {
    return key.startsWith("booking-");
  }

  private static StandinLayout layout() {
    return StandinLayout.onFreePorts(0, List.of(SERVICE, "service-2")).withProxiesBeforeUpstreams();
  }

  private static void awaitRepeatDetection(EntryHost host) {
    FleetHttpClient calls = new FleetHttpClient();
    FleetHttpClient.await(
        host.name() + " to detect repeated calls",
        REPEAT_DETECTION_TIMEOUT,
        () ->
            calls
                    .call(
                        "POST",
                        host.callerEndpoint(),
                        "/dispatch",
                        SampleTickets.SITEPOWER_KEY,
                        "{\"certainty\":\"" + host.name() + "\"}")
                    .statusCode()
                == 200);
  }

  private static List<FaultSchedule.Fault> faultCycle(LocalFleet fleet) {
    EntryHost paused = fleet.hosts().get(HOSTS - 2);
    EntryHost killed = fleet.hosts().get(HOSTS - 1);
    return List.of(
        proxyFault(fleet, "{\"scope\":\"all\",\"to_caller\":{\"reset_after_bytes\":300}}"),
        modeFault(fleet, "failing"),
        new FaultSchedule.Fault(
            () -> fleet.process(paused).signal("STOP"),
            LONG_FAULT,
            () -> fleet.process(paused).signal("CONT")),
        proxyFault(fleet, "{\"scope\":\"open\",\"to_caller\":{\"mode\":\"hold\"}}"),
        modeFault(fleet, "resetting"),
        new FaultSchedule.Fault(
            () -> fleet.process(killed).kill(), SHORT_FAULT, () -> fleet.startEntry(killed)),
        proxyFault(fleet, "{\"scope\":\"all\",\"to_target\":{\"reset_after_bytes\":400}}"),
        modeFault(fleet, "silent"),
        proxyFault(fleet, "{\"scope\":\"all\",\"to_target\":{\"delay_milliseconds\":1500}}"),
        new FaultSchedule.Fault(
            () -> fleet.standins().setMode(SERVICE, "slow", 4_000),
            SHORT_FAULT,
            () -> fleet.standins().setMode(SERVICE, "up")),
        proxyFault(fleet, "{\"scope\":\"all\",\"to_caller\":{\"mode\":\"swallow\"}}"),
        proxyFault(fleet, "{\"scope\":\"all\",\"cut\":true}"));
  }

  private static FaultSchedule.Fault proxyFault(LocalFleet fleet, String fault) {
    return new FaultSchedule.Fault(
        () -> fleet.standins().setFault(SERVICE, fault),
        SHORT_FAULT,
        () -> fleet.standins().setFault(SERVICE, "{}"));
  }

  private static FaultSchedule.Fault modeFault(LocalFleet fleet, String mode) {
    return new FaultSchedule.Fault(
        () -> fleet.standins().setMode(SERVICE, mode),
        SHORT_FAULT,
        () -> fleet.standins().setMode(SERVICE, "up"));
  }
}
