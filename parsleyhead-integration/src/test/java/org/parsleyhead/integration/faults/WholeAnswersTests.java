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
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.HttpCalls;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

@Tag("long-running")
@DisplayName("A stream whose engine breaks off")
class WholeAnswersTests {

  private static final long SEED = 31;
  private static final ChatDriver.Load LOAD = new ChatDriver.Load(12, 2, 40, 120, SEED);
  private static final Duration FAULT = Duration.ofMillis(500);
  private static final Duration SILENCE = Duration.ofSeconds(4);
  private static final Duration PAUSE = Duration.ofMillis(1_500);
  private static final Duration TIMEOUT = Duration.ofSeconds(120);
  private static final int ANSWERS = 300;

  @TempDir private Path directory;

  @Test
  @DisplayName("is resumed on another one: each token once, usage right")
  void isWhole() {
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
      try (FaultSchedule schedule = FaultSchedule.start(steps(fleet), PAUSE)) {
        HttpCalls.await(
            "answers",
            TIMEOUT,
            () -> driver.whole() >= ANSWERS && schedule.faults() >= steps(fleet).size());
        faults = schedule.faults();
      }
      driver.close();
      long resumed =
          fleet.platform().ledger().stream()
              .filter(line -> line.toLowerCase(Locale.ROOT).contains("resume-from"))
              .count();
      System.out.println(
          "faults="
              + faults
              + " whole="
              + driver.whole()
              + " resumed="
              + resumed
              + " refused="
              + driver.refusals());
      assertEquals(List.of(), driver.problems());
      assertEquals(List.of(), driver.unanswered());
      assertTrue(resumed > 0, "streams were resumed");
    }
  }

  private static List<FaultSchedule.Step> steps(LocalFleet fleet) {
    return List.of(
        fault(fleet, "engine-1", "{\"scope\":\"all\",\"to_caller\":{\"reset_after_bytes\":3000}}"),
        silence(fleet, "engine-2", "hold"),
        new FaultSchedule.Step(() -> fleet.platform().restart("engine-3"), FAULT, () -> {}),
        silence(fleet, "engine-1", "swallow"),
        fault(fleet, "engine-2", "{\"scope\":\"all\",\"cut\":true}"),
        new FaultSchedule.Step(
            () -> fleet.platform().mode("engine-3", "resetting"),
            FAULT,
            () -> fleet.platform().mode("engine-3", "up")));
  }

  /**
   * Makes the open connections silent for longer than the progress timeout. They are cut at the
   * end, since no connection passes bytes on behind others that it lost.
   */
  private static FaultSchedule.Step silence(LocalFleet fleet, String engine, String mode) {
    return new FaultSchedule.Step(
        () ->
            fleet
                .platform()
                .fault(engine, "{\"scope\":\"open\",\"to_caller\":{\"mode\":\"" + mode + "\"}}"),
        SILENCE,
        () -> {
          fleet.platform().fault(engine, "{\"scope\":\"open\",\"cut\":true}");
          fleet.platform().fault(engine, "{}");
        });
  }

  private static FaultSchedule.Step fault(LocalFleet fleet, String engine, String fault) {
    return new FaultSchedule.Step(
        () -> fleet.platform().fault(engine, fault),
        FAULT,
        () -> fleet.platform().fault(engine, "{}"));
  }
}
