package org.parsleyhead.core.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@DisplayName("The configuration of a fleet")
class ConfigurationFleetTests {

  private static final int HOSTS = 6;
  private static final int SCHEDULES = 110;
  private static final int MANY_SCHEDULES = 1_000;
  private static final MergeRule LAST_WRITER_WINS = (received, known) -> true;

  /** Runs a minute of tickets and faults, then 90 seconds without faults. */
  private static FakeConfigurationFleet runSchedule(long seed, MergeRule rule) {
    FakeConfigurationFleet fleet = new FakeConfigurationFleet(seed, HOSTS, rule);
    Random random = fleet.random();
    for (int round = 0; round < 60; round++) {
      switch (random.nextInt(8)) {
        case 0 -> fleet.setFaults(random.nextDouble() * 0.6, random.nextDouble() * 0.5);
        case 1 -> fleet.setService(random.nextBoolean(), random.nextInt(5));
        case 2 -> fleet.isolate(FakeConfigurationFleet.name(random.nextInt(HOSTS)));
        case 3 -> fleet.restart(FakeConfigurationFleet.name(random.nextInt(HOSTS)));
        case 4 -> fleet.clearFaults();
        default -> fleet.publish();
      }
      fleet.run(Duration.ofSeconds(1));
    }
    fleet.clearFaults();
    fleet.run(Duration.ofSeconds(90));
    return fleet;
  }

  private static void checkSchedules(long firstSeed, long lastSeed) {
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      FakeConfigurationFleet fleet = runSchedule(seed, MergeRule.HIGHEST_NUMBER);
      assertEquals(List.of(), fleet.violations(), "seed " + seed);
      assertEquals(List.of(), fleet.divergedHosts(), "seed " + seed);
    }
  }

  @Test
  @DisplayName(
      "never reverts an item, never exposes a partial ticket, and converges after all faults")
  void convergesWithoutReversal() {
    checkSchedules(1, SCHEDULES);
  }

  @Test
  @Tag("long-running")
  @DisplayName(
      "never reverts an item, never exposes a partial ticket, and converges in many schedules")
  void convergesInManySchedules() {
    checkSchedules(SCHEDULES + 1, MANY_SCHEDULES);
  }

  @Test
  @DisplayName("reverts items or exposes partial tickets if the last writer wins")
  void breaksIfLastWriterWins() {
    boolean broken = false;
    for (long seed = 1; seed <= 20 && !broken; seed++) {
      FakeConfigurationFleet fleet = runSchedule(seed, LAST_WRITER_WINS);
      broken = !fleet.violations().isEmpty();
    }
    assertTrue(broken);
  }

  @Test
  @DisplayName("reaches hosts that do not read from the service")
  void reachesHostsThroughPeers() {
    FakeConfigurationFleet fleet = new FakeConfigurationFleet(5, 30, MergeRule.HIGHEST_NUMBER);
    fleet.run(Duration.ofSeconds(5));
    fleet.publish();
    fleet.run(Duration.ofSeconds(8));
    assertEquals(List.of(), fleet.divergedHosts());
  }

  @Test
  @DisplayName("needs few service reads, regardless of the number of hosts")
  void boundsServiceReads() {
    FakeConfigurationFleet fleet = new FakeConfigurationFleet(6, 60, MergeRule.HIGHEST_NUMBER);
    fleet.publish();
    fleet.run(Duration.ofSeconds(20));
    long before = fleet.reads();
    fleet.run(Duration.ofSeconds(60));
    long watchers = 6;
    assertTrue(fleet.reads() - before <= watchers * 8, "reads: " + (fleet.reads() - before));
  }

  @Nested
  @DisplayName("lets a starting host")
  class Starting {

    private final FakeConfigurationFleet fleet =
        new FakeConfigurationFleet(7, HOSTS, MergeRule.HIGHEST_NUMBER);
    private final FakeConfigurationFleet.Host host = fleet.host(2);

    private void publishAndConverge(int tickets) {
      for (int count = 0; count < tickets; count++) {
        fleet.publish();
      }
      fleet.run(Duration.ofSeconds(10));
    }

    @Test
    @DisplayName("become ready only with the tickets of the other hosts if the service is stale")
    void staleService() {
      publishAndConverge(25);
      fleet.setService(true, 20);
      fleet.restart(FakeConfigurationFleet.name(2));
      while (host.readyAt() < 0) {
        fleet.run(Duration.ofMillis(50));
      }
      assertEquals(25, host.state().mergedThrough());
    }

    @Test
    @DisplayName("become ready from the other hosts if the service is down")
    void serviceDown() {
      publishAndConverge(25);
      fleet.setService(false, 0);
      fleet.restart(FakeConfigurationFleet.name(2));
      fleet.run(Duration.ofSeconds(10));
      assertTrue(host.state().ready());
      assertEquals(25, host.state().mergedThrough());
    }

    @Test
    @DisplayName("become ready from the service if no other host answers")
    void noHostAnswers() {
      publishAndConverge(25);
      fleet.setFaults(1, 0);
      fleet.restart(FakeConfigurationFleet.name(2));
      fleet.run(Duration.ofSeconds(10));
      assertTrue(host.state().ready());
      assertEquals(25, host.state().mergedThrough());
    }

    @Test
    @DisplayName("remain not ready if neither the service nor another host answers")
    void nothingAnswers() {
      publishAndConverge(25);
      fleet.setService(false, 0);
      fleet.setFaults(1, 0);
      fleet.restart(FakeConfigurationFleet.name(2));
      fleet.run(Duration.ofSeconds(60));
      assertFalse(host.state().ready());
    }
  }
}
