package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.serving.AccountLimits;

@DisplayName("The replicas of an account bucket on all hosts")
class AccountBucketReplicationTests {

  private static final double RATE = 29_000;
  private static final double BURST = 29_000;
  private static final double GRANTED_RATE_TOLERANCE = 0.25;
  private static final double GRANTED_BURST_TOLERANCE = 110_000;
  private static final double USED_RATE_TOLERANCE = 0.6 * GRANTED_RATE_TOLERANCE;
  private static final double USED_BURST_TOLERANCE = 0.35 * GRANTED_BURST_TOLERANCE;
  private static final int WINDOW_MILLISECONDS = 8_000;
  private static final int STEP_MILLISECONDS = 10;
  private static final int DELAY_MILLISECONDS = 20;
  private static final int QUIET_MILLISECONDS = 20_000;
  private static final int TOTAL_MILLISECONDS = 60_000;

  private static final AccountLimits LIMITS =
      new AccountLimits(
          new ClientAccountName("account"),
          Set.of("key"),
          OptionalInt.empty(),
          true,
          200,
          RATE,
          BURST);

  private static MonotonicTime at(int milliseconds) {
    return MonotonicTime.ORIGIN.plus(Duration.ofMillis(1_000L + milliseconds));
  }

  private static double units(Random random) {
    return 300 + 1_200 * -Math.log(1 - random.nextDouble());
  }

  @ParameterizedTest
  @CsvSource({"6, 300, 1", "6, 300, 2", "6, 300, 4", "6, 300, 8"})
  @DisplayName("stay within the granted bound while an account requests up to eight times its rate")
  void keepBound(int hosts, int reportMilliseconds, double demand) {
    Random random = new Random(hosts * 100L + (long) demand);
    List<AccountBucket> replicas = new ArrayList<>();
    for (int host = 0; host < hosts; host++) {
      replicas.add(AccountBucket.fresh(LIMITS, at(0)));
    }
    Deque<Report> inFlight = new ArrayDeque<>();
    Map<Integer, Double> admitted = new HashMap<>();
    double pendingUnits = 0;
    for (int now = 0; now < TOTAL_MILLISECONDS; now += STEP_MILLISECONDS) {
      while (!inFlight.isEmpty() && inFlight.peek().arrivesAt() <= now) {
        deliver(inFlight.poll(), replicas, now);
      }
      for (int host = 0; host < hosts; host++) {
        if ((now + host * 37) % reportMilliseconds < STEP_MILLISECONDS) {
          inFlight.add(new Report(host, replicas.get(host).admitted(), now + DELAY_MILLISECONDS));
        }
      }
      pendingUnits += now < QUIET_MILLISECONDS ? 0 : demand * RATE * STEP_MILLISECONDS / 1_000;
      while (pendingUnits > 0) {
        double units = units(random);
        pendingUnits -= units;
        int host = random.nextInt(hosts);
        AccountBucket replica = replicas.get(host).advance(LIMITS, USED_RATE_TOLERANCE, at(now));
        if (replica.admits(USED_BURST_TOLERANCE)) {
          replica = replica.admit(units);
          admitted.merge(now, units, Double::sum);
        }
        replicas.set(host, replica);
      }
    }
    double bound =
        (RATE * WINDOW_MILLISECONDS / 1_000 + BURST) * (1 + GRANTED_RATE_TOLERANCE)
            + GRANTED_BURST_TOLERANCE;
    double largest = largestWindow(admitted);
    assertTrue(largest <= bound, () -> largest + " units admitted in a window, permitted " + bound);
    double admittedTotal = admitted.values().stream().mapToDouble(Double::doubleValue).sum();
    double requested =
        Math.min(1, demand) * RATE * (TOTAL_MILLISECONDS - QUIET_MILLISECONDS) / 1_000;
    assertTrue(
        admittedTotal >= 0.98 * requested, () -> admittedTotal + " units admitted of " + requested);
  }

  private static void deliver(Report report, List<AccountBucket> replicas, int now) {
    for (int host = 0; host < replicas.size(); host++) {
      if (host != report.host()) {
        replicas.set(
            host,
            replicas
                .get(host)
                .advance(LIMITS, USED_RATE_TOLERANCE, at(now))
                .withReport("host-" + report.host(), 1, report.admitted(), at(now)));
      }
    }
  }

  private static double largestWindow(Map<Integer, Double> admitted) {
    double largest = 0;
    for (int start = 0; start < TOTAL_MILLISECONDS; start += STEP_MILLISECONDS) {
      double sum = 0;
      for (int now = start; now < start + WINDOW_MILLISECONDS; now += STEP_MILLISECONDS) {
        sum += admitted.getOrDefault(now, 0.0);
      }
      largest = Math.max(largest, sum);
    }
    return largest;
  }

  private record Report(int host, double admitted, int arrivesAt) {}
}
