package org.parsleyhead.integration.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;
import org.parsleyhead.standin.ledger.LedgerCodec;
import org.parsleyhead.standin.ledger.LedgerEntry;

@Tag("long-running")
@DisplayName("A client account that requests several times its rate")
class RateBoundTests {

  private static final long RATE = 400;
  private static final long BURST = 1_200;
  private static final int HOSTS = 4;
  private static final ChatDriver.Load LOAD = new ChatDriver.Load(24, 2, 10, 40, 47);
  private static final Duration PAUSE_BETWEEN_FAULTS = Duration.ofSeconds(1);
  private static final Duration SINGLE_HOST_TIME = Duration.ofSeconds(15);

  @TempDir private Path directory;

  @Test
  @DisplayName(
      "stays within rate and burst on one host, when it changes hosts, and under pauses and kills")
  void staysWithinLimits() {
    StandinLayout layout = StandinLayout.onFreePorts(4, List.of());
    try (LocalFleet fleet =
        Fleets.start(
            directory, layout, HOSTS, Map.of(), SampleTickets.first(layout, 2, RATE, BURST))) {
      List<EntryHost> hosts = fleet.hosts();
      final long start = System.currentTimeMillis();
      ChatDriver driver = ChatDriver.start(hosts.subList(0, 1), LOAD);
      sleep(SINGLE_HOST_TIME);
      driver.switchTo(hosts.subList(1, 2));
      sleep(SINGLE_HOST_TIME);
      driver.switchTo(hosts);
      try (FaultSchedule schedule = FaultSchedule.start(faultCycle(fleet), PAUSE_BETWEEN_FAULTS)) {
        while (schedule.injectedCount() <= faultCycle(fleet).size()) {
          sleep(PAUSE_BETWEEN_FAULTS);
        }
      }
      driver.close();
      List<LedgerEntry> ledger =
          fleet.standins().fetchLedger().stream()
              .map(LedgerCodec::decode)
              .filter(entry -> entry.kind().equals("completion"))
              .sorted(Comparator.comparingLong(LedgerEntry::startMilliseconds))
              .toList();
      double maximum = maximumRatio(ledger, start, RATE, BURST);
      double seconds = (System.currentTimeMillis() - start) / 1e3;
      System.out.println(
          "admitted_over_allowed="
              + maximum
              + " tokens="
              + ledger.stream().mapToLong(RateBoundTests::tokens).sum()
              + " allowed="
              + (BURST + RATE * seconds)
              + " seconds="
              + seconds
              + " whole="
              + driver.completeCount()
              + " refused="
              + driver.refusals());
      assertTrue(maximum <= 1, "ratio of admitted to allowed tokens: " + maximum);
      assertTrue(
          maximumRatio(ledger, start, RATE / 4, BURST / 4) > 1,
          "expected the check to fail for a quarter of the limits");
      assertTrue(
          driver.refusals().containsKey("429 rate_limited"),
          "expected refusals for exceeding the rate");
    }
  }

  /** Returns the maximum ratio of started to allowed tokens over all starts of completions. */
  private static double maximumRatio(List<LedgerEntry> ledger, long start, long rate, long burst) {
    long tokens = 0;
    double maximum = 0;
    for (LedgerEntry entry : ledger) {
      tokens += tokens(entry);
      double allowed = burst + rate * (entry.startMilliseconds() - start) / 1e3;
      maximum = Math.max(maximum, tokens / allowed);
    }
    return maximum;
  }

  private static long tokens(LedgerEntry entry) {
    return (long) entry.promptTokens() + entry.tokens();
  }

  private static List<FaultSchedule.Fault> faultCycle(LocalFleet fleet) {
    EntryHost paused = fleet.hosts().get(1);
    EntryHost killed = fleet.hosts().get(2);
    return List.of(
        pauseFault(fleet, paused, Duration.ofSeconds(3)),
        new FaultSchedule.Fault(
            () -> fleet.process(killed).kill(),
            Duration.ofSeconds(2),
            () -> fleet.startEntry(killed)),
        pauseFault(fleet, paused, Duration.ofSeconds(12)),
        new FaultSchedule.Fault(
            () -> fleet.process(killed).kill(),
            Duration.ofSeconds(12),
            () -> fleet.startEntry(killed)));
  }

  private static FaultSchedule.Fault pauseFault(LocalFleet fleet, EntryHost host, Duration length) {
    return new FaultSchedule.Fault(
        () -> fleet.process(host).signal("STOP"), length, () -> fleet.process(host).signal("CONT"));
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
