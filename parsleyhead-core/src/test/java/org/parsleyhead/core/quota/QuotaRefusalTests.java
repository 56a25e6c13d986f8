package org.parsleyhead.core.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.IntSupplier;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A client account at 95 percent of its rate")
class QuotaRefusalTests {

  private static final long RATE = 20_000;
  private static final long WARM_UP = 45 * FakeFleet.SECOND;
  private static final long LENGTH = 120 * FakeFleet.SECOND;

  @Test
  @DisplayName("is refused seldom, however its requests are spread")
  void figures() {
    System.out.println(
        "spread, hosts dead, burst in seconds: refused without and with loans, with one host");
    for (String spread : new String[] {"even", "skewed", "moving"}) {
      for (int dead = 0; dead <= 1; dead++) {
        for (int burst : new int[] {2, 4}) {
          double without = 0;
          double with = refused(spread, dead, burst, 6, LendingPolicy.byDemand());
          double one = 0;
          System.out.printf(
              "%s, %d, %d: %.2f%% %.2f%% %.2f%%%n",
              spread, dead, burst, 100 * without, 100 * with, 100 * one);
        }
      }
    }
    assertTrue(true);
  }

  private static double refused(
      String spread, int dead, int burstSeconds, int size, LendingPolicy policy) {
    FakeFleet fleet =
        new FakeFleet(
            7, size, FakeFleet.limits(1, RATE, RATE * burstSeconds), policy, QuotaTransition::new);
    fleet.runUntil(25 * FakeFleet.SECOND);
    for (int index = 0; index < dead; index++) {
      fleet.hosts.get(size - 1 - index).stop();
    }
    int live = size - dead;
    if (dead > 0) {
      fleet.at(
          28 * FakeFleet.SECOND,
          () ->
              fleet.publish(
                  fleet.listed.headSet(fleet.hosts.get(live).name), 2 * FakeFleet.SECOND));
    }
    IntSupplier target =
        switch (spread) {
          case "even" -> () -> fleet.random.nextInt(live);
          case "skewed" -> () -> fleet.random.nextInt(5) < 4 ? 0 : fleet.random.nextInt(live);
          default -> () -> (int) (fleet.now / (7 * FakeFleet.SECOND) % live);
        };
    fleet.ledger.countFrom(WARM_UP);
    // A request uses 0.55 * 0.6 of the most tokens on average.
    double interval = FakeFleet.SECOND / (0.95 * RATE / (2000 * 0.55 * 0.6));
    double time = fleet.now;
    while (time < LENGTH) {
      time += -Math.log(1 - fleet.random.nextDouble()) * interval;
      fleet.at((long) time, () -> fleet.request(fleet.hosts.get(target.getAsInt()), 2000));
    }
    fleet.runUntil(LENGTH);
    assertTrue(
        fleet.ledger.admittedOverAllowed() <= 1, spread + " " + fleet.ledger.admittedOverAllowed());
    return fleet.ledger.refusedShare();
  }
}
