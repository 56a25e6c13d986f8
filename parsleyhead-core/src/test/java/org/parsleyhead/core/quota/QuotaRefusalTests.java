package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.IntSupplier;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

@DisplayName("A client account at 95 percent of its rate")
class QuotaRefusalTests {

  private static final int HOSTS = 6;
  private static final int SEEDS = 3;
  private static final long RATE = 20_000;
  private static final long HOSTS_STOPPED_AT = 25 * FakeFleet.SECOND;
  private static final long LIST_CHANGED_AT = 28 * FakeFleet.SECOND;
  private static final long COUNTED_FROM = 45 * FakeFleet.SECOND;
  private static final long RUN_DURATION = 120 * FakeFleet.SECOND;

  enum Spread {
    EVEN,
    SKEWED,
    MOVING
  }

  @ParameterizedTest
  @EnumSource(names = {"SKEWED", "MOVING"})
  @DisplayName("is refused less often with loans than with static equal shares")
  void loansHelp(Spread spread) {
    double withoutLoans = refused(1, spread, 0, 4, HOSTS, LendingPolicy.none(), true);
    double withLoans = refused(1, spread, 0, 4, HOSTS, LendingPolicy.byDemand(), true);
    assertTrue(
        withLoans < withoutLoans / 2,
        spread + ": " + withLoans + " with loans, " + withoutLoans + " without");
  }

  @Test
  @Tag("long-running")
  @DisplayName("stays within its rate and burst while its refusal rates are printed")
  void refusalRates() {
    System.out.println(
        "| spread | hosts dead | burst | static | loans | loans, list unchanged | one host |");
    for (Spread spread : Spread.values()) {
      for (int dead = 0; dead <= 2; dead++) {
        for (int burst : new int[] {2, 4, 10}) {
          System.out.printf(
              "| %s | %d | %d s | %.2f%% | %.2f%% | %.2f%% | %.2f%% |%n",
              spread,
              dead,
              burst,
              mean(spread, dead, burst, HOSTS, LendingPolicy.none(), true),
              mean(spread, dead, burst, HOSTS, LendingPolicy.byDemand(), true),
              mean(spread, dead, burst, HOSTS, LendingPolicy.byDemand(), false),
              mean(spread, 0, burst, 1, LendingPolicy.none(), true));
        }
      }
    }
  }

  private static double mean(
      Spread spread, int dead, int burst, int size, LendingPolicy policy, boolean removed) {
    double sum = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      sum += refused(seed, spread, dead, burst, size, policy, removed);
    }
    return 100 * sum / SEEDS;
  }

  private static double refused(
      long seed,
      Spread spread,
      int dead,
      int burstSeconds,
      int size,
      LendingPolicy policy,
      boolean removed) {
    Limits limits = FakeFleet.limits(1, RATE, RATE * burstSeconds);
    FakeFleet fleet = new FakeFleet(seed, size, limits, policy, QuotaTransition::new);
    fleet.runUntil(HOSTS_STOPPED_AT);
    int live = size - dead;
    fleet.hosts.subList(live, size).forEach(FakeHost::stop);
    if (dead > 0 && removed) {
      fleet.at(
          LIST_CHANGED_AT,
          () -> fleet.publish(fleet.listed.headSet(fleet.hosts.get(live).name), FakeFleet.SECOND));
    }
    fleet.ledger.countFrom(COUNTED_FROM);
    IntSupplier target = target(fleet, spread, live);
    // On average a request uses 0.55 * 0.6 of the maximum number of tokens.
    double interval = FakeFleet.SECOND / (0.95 * RATE / (2000 * 0.55 * 0.6));
    double time = fleet.now;
    while (time < RUN_DURATION) {
      time += -Math.log(1 - fleet.random.nextDouble()) * interval;
      fleet.at((long) time, () -> fleet.request(fleet.hosts.get(target.getAsInt()), 2000));
    }
    fleet.runUntil(RUN_DURATION);
    double ratio = fleet.ledger.admittedToAllowedRatio();
    assertTrue(ratio <= 1, "seed " + seed + ", " + spread + " reached ratio " + ratio);
    return fleet.ledger.refusedFraction();
  }

  private static IntSupplier target(FakeFleet fleet, Spread spread, int live) {
    return switch (spread) {
      case EVEN -> () -> fleet.random.nextInt(live);
      case SKEWED -> () -> fleet.random.nextInt(5) < 4 ? 0 : fleet.random.nextInt(live);
      case MOVING -> () -> (int) (fleet.now / (7 * FakeFleet.SECOND) % live);
    };
  }
}
