package org.parsleyhead.integration.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.parsleyhead.platform.standin.CallerStandin;
import org.parsleyhead.platform.standin.PublishedDocuments;
import org.parsleyhead.platform.standin.RunLedger;

@DisplayName("Gateway processes while failure domains are evacuated")
class FailureDomainTests {

  private static final String FAR = "far";
  private static final Duration STARTUP_TIME = Duration.ofSeconds(6);
  private static final Duration EVACUATION_BOUND = Duration.ofSeconds(5);
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** The hard limit of the platform for a cold server, in any second. */
  private static final double COLD_LIMIT = 1.5 * PublishedDocuments.COLD_REQUESTS_PER_SECOND + 5;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path directory;

  private static long pause(Duration duration) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(duration.toMillis());
    return System.nanoTime();
  }

  private static List<RunLedger.Run> runs(
      SoakFleet fleet, SoakFleet.Server server, long from, long until) {
    return fleet.ledger().runs().stream()
        .filter(run -> run.instance().equals(server.standin().identifier()))
        .filter(run -> run.startedAt() >= from && run.startedAt() < until)
        .toList();
  }

  private static long mostInOneSecond(List<RunLedger.Run> runs) {
    return runs.stream()
        .mapToLong(
            first ->
                runs.stream()
                    .mapToLong(run -> run.startedAt() - first.startedAt())
                    .filter(distance -> distance >= 0 && distance < SECOND)
                    .count())
        .max()
        .orElse(0);
  }

  @Test
  @DisplayName(
      "send nothing there, refuse if all are evacuated, and warm the servers up afterwards")
  void evacuate() throws Exception {
    try (SoakFleet fleet = new SoakFleet(directory, 3, 0)) {
      final SoakFleet.Server far = fleet.addServer(false, FAR);
      fleet.hosts().forEach(SoakFleet.Host::awaitStarted);
      final long startedAt = pause(STARTUP_TIME);
      final SoakTraffic traffic = new SoakTraffic(fleet, 1);
      pause(OBSERVATION_TIME);
      fleet.evacuate(FAR, true);
      final long farEmpty = pause(EVACUATION_BOUND);
      pause(OBSERVATION_TIME);
      fleet.evacuate(PublishedDocuments.NEAR, true);
      final long allEmpty = pause(EVACUATION_BOUND);
      final long revokedAt = pause(OBSERVATION_TIME);
      fleet.evacuate(FAR, false);
      fleet.evacuate(PublishedDocuments.NEAR, false);
      final long warmFrom = pause(PublishedDocuments.COLD_TIME);
      final long end = pause(OBSERVATION_TIME.plus(OBSERVATION_TIME));
      traffic.stop();

      assertTrue(runs(fleet, far, startedAt, farEmpty).size() > 0, "is used before");
      assertEquals(List.of(), runs(fleet, far, farEmpty, revokedAt));
      for (SoakFleet.Server server : fleet.servers()) {
        assertEquals(List.of(), runs(fleet, server, allEmpty, revokedAt));
        List<RunLedger.Run> cold = runs(fleet, server, revokedAt, warmFrom);
        long most = mostInOneSecond(cold);
        System.out.printf(
            "cold %s: runs=%d most_in_one_second=%d, warm: runs=%d%n",
            server.standin().identifier(),
            cold.size(),
            most,
            runs(fleet, server, warmFrom, end).size());
        assertTrue(cold.size() > 0, "is used while it is cold");
        assertTrue(most <= COLD_LIMIT, () -> most + " runs in one second");
      }
      List<CallerStandin.Outcome> refused =
          traffic.outcomes().stream()
              .filter(outcome -> outcome.kind() != CallerStandin.Kind.CHAT)
              .filter(outcome -> outcome.key().equals("key-0"))
              .filter(outcome -> outcome.sentAt() >= allEmpty && outcome.endedAt() < revokedAt)
              .toList();
      assertTrue(refused.size() > 0);
      refused.forEach(outcome -> assertEquals(503, outcome.status(), outcome::toString));
    }
  }
}
