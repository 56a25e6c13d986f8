package org.parsleyhead.core.engine;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.scheduling.SchedulingPolicy;
import org.parsleyhead.core.scheduling.SchedulingSettings;
import org.parsleyhead.core.ticket.Priority;

/**
 * Prints statistics of the adaptive policy and the baselines on a fake fleet; asserts only that
 * each of them completes requests.
 */
@Tag("long-running")
@DisplayName("The scheduling policies")
class PolicyTrialTests {

  private static final double WARM_UP_SECONDS = 90;
  private static final double MEASURED_SECONDS = 300;
  private static final long SEED = 5;

  enum Scenario {
    STEADY(9, 1.1, 1, 0),
    FIVEFOLD_ACCOUNT(9, 1.1, 5, 0),
    POPULARITY_SHIFT(9, 1.1, 1, 700);

    final double requestsPerSecond;
    final double exponent;
    final double firstAccountFactor;
    final int shift;

    Scenario(double requestsPerSecond, double exponent, double firstAccountFactor, int shift) {
      this.requestsPerSecond = requestsPerSecond;
      this.exponent = exponent;
      this.firstAccountFactor = firstAccountFactor;
      this.shift = shift;
    }
  }

  @ParameterizedTest
  @EnumSource
  @DisplayName("complete requests in each scenario")
  void serves(Scenario scenario) {
    for (String policy :
        new String[] {
          SchedulingPolicy.ADAPTIVE,
          SchedulingPolicy.FIRST_COME_FIRST_SERVED,
          SchedulingPolicy.LEAST_OUTSTANDING,
          SchedulingPolicy.CONSISTENT_HASHING
        }) {
      FakeFleet fleet = run(scenario, policy);
      print(scenario, policy, fleet);
      assertTrue(fleet.requestLog().count(entry -> entry.completed >= 0) > 0);
    }
  }

  private static FakeFleet run(Scenario scenario, String policy) {
    SchedulingSettings settings = SchedulingSettings.defaults();
    FakeFleet fleet =
        new FakeFleet(
            SEED, OwnershipSettings.of(4, 8), SchedulingPolicy.named(policy, settings), 6);
    fleet.addEngines(6, 8, 16, false);
    fleet.addEngines(6, 8, 16, true);
    fleet.start();
    double[] accountRates = new double[5];
    Arrays.fill(accountRates, scenario.requestsPerSecond / 5);
    accountRates[0] *= scenario.firstAccountFactor;
    FakeWorkload workload = new FakeWorkload(fleet, 3000, scenario.exponent, accountRates, 1000);
    fleet.runUntil(20);
    workload.start();
    fleet.runUntil(WARM_UP_SECONDS + MEASURED_SECONDS / 2);
    workload.shiftPopularity(scenario.shift);
    fleet.runUntil(WARM_UP_SECONDS + MEASURED_SECONDS);
    return fleet;
  }

  private static void print(Scenario scenario, String policy, FakeFleet fleet) {
    FakeFleetRequestLog log = fleet.requestLog();
    Predicate<FakeFleetRequestLog.Entry> measured = entry -> entry.submitted > WARM_UP_SECONDS;
    Predicate<FakeFleetRequestLog.Entry> interactive =
        measured.and(entry -> entry.request.priority() == Priority.INTERACTIVE);
    Predicate<FakeFleetRequestLog.Entry> stalled = measured.and(entry -> !entry.resident);
    double stallSeconds =
        log.entries().stream()
            .filter(stalled.and(entry -> entry.dispatched >= 0))
            .mapToDouble(FakeFleetRequestLog.Entry::waited)
            .sum();
    Map<String, Double> byAccount = new TreeMap<>();
    IntStream.range(0, 5)
        .mapToObj(number -> "account-" + number)
        .forEach(
            account ->
                byAccount.put(
                    account,
                    log.waitQuantile(
                        0.95,
                        interactive.and(
                            entry -> entry.request.clientAccount().text().equals(account)))));
    double[] accountWaits =
        byAccount.values().stream().mapToDouble(Double::doubleValue).sorted().toArray();
    System.out.printf(
        "%s %s requests=%d stalled=%d stall_s=%.0f wait_p50=%.3f wait_p95=%.3f"
            + " resident_p95=%.3f refused=%.2f%% refused_others=%.2f%% batch=%.2f"
            + " worst_over_median=%.2f transfers=%d pin_requests=%d%n",
        scenario,
        policy,
        log.count(measured),
        log.count(stalled),
        stallSeconds,
        log.waitQuantile(0.5, interactive),
        log.waitQuantile(0.95, interactive),
        log.waitQuantile(0.95, interactive.and(entry -> entry.resident)),
        refusedPercent(log, measured),
        refusedPercent(
            log, measured.and(entry -> !entry.request.clientAccount().text().equals("account-0"))),
        fleet.engines().stream().mapToDouble(FakeEngine::meanBatch).average().orElse(0),
        accountWaits[4] / accountWaits[2],
        fleet.store().transfers(),
        log.messages().getOrDefault("PinRequest", 0));
  }

  private static double refusedPercent(
      FakeFleetRequestLog log, Predicate<FakeFleetRequestLog.Entry> predicate) {
    return 100.0
        * log.count(predicate.and(entry -> entry.refused >= 0))
        / Math.max(1, log.count(predicate));
  }
}
