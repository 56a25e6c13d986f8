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
@DisplayName("A client account that asks for several times its rate")
class RateBoundTests {

  private static final long RATE = 400;
  private static final long BURST = 1_200;
  private static final int HOSTS = 4;
  private static final ChatDriver.Load LOAD = new ChatDriver.Load(24, 2, 10, 40, 47);
  private static final Duration BETWEEN_FAULTS = Duration.ofSeconds(1);
  private static final Duration ON_ONE_HOST = Duration.ofSeconds(15);

  @TempDir private Path directory;

  @Test
  @DisplayName("gets at most its rate and burst, on one host, moving, and under pause and kill")
  void staysWithin() {
    StandinLayout layout = StandinLayout.onFreePorts(4, List.of());
    try (LocalFleet fleet =
        Fleets.start(
            directory, layout, HOSTS, Map.of(), SampleTickets.first(layout, 2, RATE, BURST))) {
      List<EntryHost> hosts = fleet.hosts();
      final long begin = System.currentTimeMillis();
      ChatDriver driver = ChatDriver.start(hosts.subList(0, 1), LOAD);
      pause(ON_ONE_HOST);
      driver.moveTo(hosts.subList(1, 2));
      pause(ON_ONE_HOST);
      driver.moveTo(hosts);
      try (FaultSchedule schedule = FaultSchedule.start(steps(fleet), BETWEEN_FAULTS)) {
        while (schedule.faults() <= steps(fleet).size()) {
          pause(BETWEEN_FAULTS);
        }
      }
      driver.close();
      List<LedgerEntry> ledger =
          fleet.platform().ledger().stream()
              .map(LedgerCodec::decode)
              .filter(entry -> entry.kind().equals("completion"))
              .sorted(Comparator.comparingLong(LedgerEntry::startMilliseconds))
              .toList();
      double worst = worstRatio(ledger, begin, RATE, BURST);
      double seconds = (System.currentTimeMillis() - begin) / 1e3;
      System.out.println(
          "admitted_over_allowed="
              + worst
              + " tokens="
              + ledger.stream().mapToLong(RateBoundTests::tokens).sum()
              + " allowed="
              + (BURST + RATE * seconds)
              + " seconds="
              + seconds
              + " whole="
              + driver.whole()
              + " refused="
              + driver.refusals());
      assertTrue(worst <= 1, "admitted over allowed: " + worst);
      assertTrue(worstRatio(ledger, begin, RATE / 4, BURST / 4) > 1, "the check can fail");
      assertTrue(driver.refusals().containsKey("429 rate_limited"), "more was asked for");
    }
  }

  /** Returns the greatest ratio of what had started to what was allowed, over all times. */
  private static double worstRatio(List<LedgerEntry> ledger, long begin, long rate, long burst) {
    long tokens = 0;
    double worst = 0;
    for (LedgerEntry entry : ledger) {
      tokens += tokens(entry);
      double allowed = burst + rate * (entry.startMilliseconds() - begin) / 1e3;
      worst = Math.max(worst, tokens / allowed);
    }
    return worst;
  }

  private static long tokens(LedgerEntry entry) {
    return (long) entry.promptTokens() + entry.tokens();
  }

  private static List<FaultSchedule.Step> steps(LocalFleet fleet) {
    EntryHost paused = fleet.hosts().get(1);
    EntryHost killed = fleet.hosts().get(2);
    return List.of(
        paused(fleet, paused, Duration.ofSeconds(3)),
        new FaultSchedule.Step(
            () -> fleet.process(killed).kill(),
            Duration.ofSeconds(2),
            () -> fleet.startEntry(killed)),
        paused(fleet, paused, Duration.ofSeconds(12)),
        new FaultSchedule.Step(
            () -> fleet.process(killed).kill(),
            Duration.ofSeconds(12),
            () -> fleet.startEntry(killed)));
  }

  private static FaultSchedule.Step paused(LocalFleet fleet, EntryHost host, Duration length) {
    return new FaultSchedule.Step(
        () -> fleet.process(host).signal("STOP"), length, () -> fleet.process(host).signal("CONT"));
  }

  private static void pause(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
