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
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.HttpCalls;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.standin.ledger.LedgerCodec;
import org.parsleyhead.standin.ledger.LedgerEntry;

@Tag("long-running")
@DisplayName("A call that may not be repeated")
class AtMostOnceTests {

  private static final long SEED = 20_261_204;
  private static final int CALLS = 10_000;
  private static final int HOSTS = 5;
  private static final Duration SHORT = Duration.ofMillis(700);
  private static final Duration LONG = Duration.ofSeconds(4);
  private static final Duration PAUSE = Duration.ofMillis(300);
  private static final Duration CERTAINTY_TIMEOUT = Duration.ofSeconds(60);
  private static final String SERVICE = "service-1";

  @TempDir private Path directory;

  @Test
  @DisplayName("runs at most once, and never after not_run, under every fault and repetition")
  void runsAtMostOnce() {
    Map<String, String> settings =
        Map.of(
            "repeats.window", "\"11 s\"",
            "upstreams.answer_timeout", "\"3 s\"",
            "upstreams.progress_timeout", "\"2 s\"");
    try (LocalFleet fleet = Fleets.start(directory, layout(), HOSTS, settings)) {
      fleet.hosts().forEach(AtMostOnceTests::awaitCertainty);
      CallOutcomes outcomes;
      int faults;
      try (FaultSchedule schedule = FaultSchedule.start(steps(fleet), PAUSE)) {
        outcomes = new CallDriver(fleet.hosts(), SEED).send(CALLS);
        faults = schedule.faults();
      }
      List<LedgerEntry> ledger =
          fleet.platform().ledger().stream()
              .map(LedgerCodec::decode)
              .filter(entry -> entry.idempotencyKey().filter(AtMostOnceTests::isDriven).isPresent())
              .toList();
      System.out.println(
          "faults=" + faults + " runs=" + ledger.size() + " told=" + outcomes.counts());
      assertEquals(List.of(), outcomes.breaks(ledger));
      assertTrue(ledger.size() > CALLS / 2, "most calls ran: " + ledger.size());
      assertTrue(faults >= steps(fleet).size(), "each fault was caused: " + faults);
    }
  }

  private static boolean isDriven(String key) {
    return key.startsWith("booking-");
  }

  private static StandinLayout layout() {
    return StandinLayout.onFreePorts(0, List.of(SERVICE, "service-2")).withProxiesBeforeUpstreams();
  }

  private static void awaitCertainty(EntryHost host) {
    HttpCalls calls = new HttpCalls();
    HttpCalls.await(
        host.name() + " recognizes repetitions",
        CERTAINTY_TIMEOUT,
        () ->
            calls
                    .call(
                        "POST",
                        host.callers(),
                        "/dispatch",
                        SampleTickets.SITEPOWER_KEY,
                        "{\"certainty\":\"" + host.name() + "\"}")
                    .statusCode()
                == 200);
  }

  private static List<FaultSchedule.Step> steps(LocalFleet fleet) {
    EntryHost paused = fleet.hosts().get(HOSTS - 2);
    EntryHost killed = fleet.hosts().get(HOSTS - 1);
    return List.of(
        proxy(fleet, "{\"scope\":\"all\",\"to_caller\":{\"reset_after_bytes\":300}}"),
        mode(fleet, "failing"),
        new FaultSchedule.Step(
            () -> fleet.process(paused).signal("STOP"),
            LONG,
            () -> fleet.process(paused).signal("CONT")),
        proxy(fleet, "{\"scope\":\"open\",\"to_caller\":{\"mode\":\"hold\"}}"),
        mode(fleet, "resetting"),
        new FaultSchedule.Step(
            () -> fleet.process(killed).kill(), SHORT, () -> fleet.startEntry(killed)),
        proxy(fleet, "{\"scope\":\"all\",\"to_target\":{\"reset_after_bytes\":400}}"),
        mode(fleet, "silent"),
        proxy(fleet, "{\"scope\":\"all\",\"to_target\":{\"delay_milliseconds\":1500}}"),
        new FaultSchedule.Step(
            () -> fleet.platform().mode(SERVICE, "slow", 4_000),
            SHORT,
            () -> fleet.platform().mode(SERVICE, "up")),
        proxy(fleet, "{\"scope\":\"all\",\"to_caller\":{\"mode\":\"swallow\"}}"),
        proxy(fleet, "{\"scope\":\"all\",\"cut\":true}"));
  }

  private static FaultSchedule.Step proxy(LocalFleet fleet, String fault) {
    return new FaultSchedule.Step(
        () -> fleet.platform().fault(SERVICE, fault),
        SHORT,
        () -> fleet.platform().fault(SERVICE, "{}"));
  }

  private static FaultSchedule.Step mode(LocalFleet fleet, String mode) {
    return new FaultSchedule.Step(
        () -> fleet.platform().mode(SERVICE, mode),
        SHORT,
        () -> fleet.platform().mode(SERVICE, "up"));
  }
}
