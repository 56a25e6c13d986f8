package org.parsleyhead.core.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;

@DisplayName("A fleet of scheduling and ownership duties")
class EngineFleetTests {

  private static final int TRANSFERS = 8;
  private static final double RUN_SECONDS = 180;
  private static final double MAXIMUM_FAULT_MILLISECONDS = 15_000;
  private static final int MAXIMUM_SEARCHED_SEEDS = 60;
  private static final SchedulingSettings SCHEDULING = SchedulingSettings.defaults();
  private static final SchedulingPolicy POLICY = SchedulingPolicy.adaptive(SCHEDULING);

  /** Short durations, so that the ownership of engines changes often. */
  private static final OwnershipSettings OWNERSHIP =
      new OwnershipSettings(
          Duration.ofSeconds(3),
          Duration.ofSeconds(6),
          Duration.ofMillis(300),
          Duration.ofMillis(600),
          Duration.ofMillis(300),
          Duration.ofSeconds(3),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2),
          4,
          TRANSFERS,
          Duration.ofMillis(500),
          Duration.ofSeconds(10),
          Duration.ofSeconds(30));

  /** Uses pins for 20 seconds longer than granted, and keeps unused pins for 60 seconds. */
  private static final SchedulingSettings OVERLONG_PINS =
      new SchedulingSettings(
          Duration.ofSeconds(-20),
          SCHEDULING.pinRenewInterval(),
          Duration.ofSeconds(60),
          SCHEDULING.pinRequestRetryInterval(),
          SCHEDULING.pinRequestTimeout(),
          SCHEDULING.spreadDelay(),
          SCHEDULING.batchPenalty(),
          SCHEDULING.maximumReportAge(),
          SCHEDULING.maximumEngineQueue(),
          SCHEDULING.slowStartDuration(),
          SCHEDULING.failureBackoff(),
          SCHEDULING.spreadLoadThreshold());

  private static FakeFleet run(
      FakeFleet fleet, boolean restartsEngines, double maximumFaultMilliseconds) {
    fleet.addEngines(3, 4, 8, false);
    fleet.addEngines(3, 4, 8, true);
    fleet.store().setFailureProbability(0.05);
    fleet.start();
    FakeWorkload workload = new FakeWorkload(fleet, 60, 0.9, new double[] {3, 3, 3, 3}, 500);
    workload.start();
    new FakeFaults(fleet, restartsEngines, maximumFaultMilliseconds).start();
    fleet.runUntil(RUN_SECONDS);
    return fleet;
  }

  private static List<String> violations(FakeFleet fleet) {
    List<String> violations = new ArrayList<>();
    fleet.engines().forEach(engine -> violations.addAll(engine.violations()));
    return violations;
  }

  private static void checkSchedules(long firstSeed, int count) {
    int evictions = 0;
    long completed = 0;
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      boolean restartsEngines = seed % 2 == 0;
      FakeFleet fleet =
          run(
              new FakeFleet(seed, OWNERSHIP, POLICY, 4),
              restartsEngines,
              MAXIMUM_FAULT_MILLISECONDS);
      assertEquals(List.of(), violations(fleet), "seed " + seed);
      assertTrue(fleet.store().maximumInFlight() <= TRANSFERS, "seed " + seed);
      if (!restartsEngines) {
        int missing = fleet.engines().stream().mapToInt(FakeEngine::missingAdapterRequests).sum();
        assertEquals(0, missing, "seed " + seed);
      }
      evictions += fleet.engines().stream().mapToInt(FakeEngine::evictions).sum();
      completed += fleet.requestLog().count(entry -> entry.completed >= 0);
    }
    assertTrue(evictions > 0 && completed > 0);
  }

  /** Searches for a seed at which a fleet with a broken rule evicts an adapter in use. */
  private static OptionalLong findViolation(
      SchedulingSettings scheduling, boolean ignoresAttestations, long firstSeed) {
    return LongStream.range(firstSeed, firstSeed + MAXIMUM_SEARCHED_SEEDS)
        .filter(
            seed -> {
              FakeFleet fleet = new FakeFleet(seed, OWNERSHIP, scheduling, POLICY, 4);
              if (ignoresAttestations) {
                fleet.ignoreAttestations();
              }
              return !violations(run(fleet, false, 3 * MAXIMUM_FAULT_MILLISECONDS)).isEmpty();
            })
        .findFirst();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 101, 201, 301})
  @DisplayName("never evicts an adapter in use nor exceeds the transfer limit under random faults")
  void staysSafeUnderFaults(long firstSeed) {
    checkSchedules(firstSeed, 3);
  }

  @Test
  @Tag("long-running")
  @DisplayName("never evicts an adapter in use nor exceeds the transfer limit in 1000 schedules")
  void staysSafeInManySchedules() {
    checkSchedules(10_000, 1000);
  }

  @Nested
  @DisplayName("with a broken rule")
  class BrokenVariants {

    @Test
    @DisplayName("evicts an adapter in use if owners act without attestations")
    void failsWithoutAttestations() {
      OptionalLong seed = findViolation(SCHEDULING, true, 8);
      System.out.println("violation without attestations: seed " + seed);
      assertTrue(seed.isPresent());
    }

    @Test
    @DisplayName("evicts an adapter in use if hosts use expired pins")
    void failsWithExpiredPins() {
      OptionalLong seed = findViolation(OVERLONG_PINS, false, 45);
      System.out.println("violation with expired pins: seed " + seed);
      assertTrue(seed.isPresent());
    }
  }
}
