package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.overload.SpreadRetryAfter;
import org.parsleyhead.core.overload.WaitPolicy;
import org.parsleyhead.core.placement.PlacementSettings;
import org.parsleyhead.core.quarantine.TrialRight;

@DisplayName("The retry budget")
class RetryBudgetTests {

  private static final double RATIO = 0.2;
  private static final int WINDOW_SECONDS = 10;
  private static final int QUIET_SECONDS = 60;
  private static final int TOTAL_SECONDS = 90;

  private static DispatchSettings settings(double burst) {
    return new DispatchSettings(
        new FailureDomainName("near"),
        38,
        Duration.ofMillis(250),
        Duration.ofMillis(25),
        Duration.ofMillis(1500),
        RATIO,
        burst,
        Duration.ofSeconds(WINDOW_SECONDS),
        0.1,
        0,
        new SpreadRetryAfter(),
        WaitPolicy.upToFraction(0.7),
        TrialRight.inTurn("self"),
        new PlacementSettings("self", false));
  }

  private static MonotonicTime at(double seconds) {
    return MonotonicTime.ORIGIN.plus(Duration.ofMillis((long) (seconds * 1000)));
  }

  @ParameterizedTest
  @CsvSource({"6, 52, 19", "69, 178, 111", "78, 196, 123"})
  @DisplayName("bounds the retries of all hosts within a window after an idle period")
  void boundsRetriesOfAllHosts(int hosts, double burst, int requestsPerSecond) {
    DispatchSettings settings = settings(burst);
    Random random = new Random(hosts);
    List<RetryBudget> budgets = new ArrayList<>();
    for (int host = 0; host < hosts; host++) {
      budgets.add(RetryBudget.fresh(at(0)));
    }
    int[] retries = new int[TOTAL_SECONDS];
    for (int second = 0; second < TOTAL_SECONDS; second++) {
      for (int request = 0; request < requestsPerSecond; request++) {
        int host = random.nextInt(hosts);
        MonotonicTime time = at(second + (double) request / requestsPerSecond);
        RetryBudget budget = budgets.get(host).advance(settings, hosts, time).earn(settings, hosts);
        while (second >= QUIET_SECONDS && budget.allows()) {
          budget = budget.spend();
          retries[second]++;
        }
        budgets.set(host, budget);
      }
    }
    double permitted = RATIO * requestsPerSecond * WINDOW_SECONDS + burst;
    for (int start = 0; start + WINDOW_SECONDS <= TOTAL_SECONDS; start++) {
      int sum = 0;
      for (int second = start; second < start + WINDOW_SECONDS; second++) {
        sum += retries[second];
      }
      int windowStart = start;
      int inWindow = sum;
      assertTrue(
          inWindow <= permitted,
          () -> inWindow + " retries from second " + windowStart + ", permitted " + permitted);
    }
    assertTrue(retries[QUIET_SECONDS] > 0);
  }

  @Test
  @DisplayName("starts empty, since a previous run of the process may have spent its share")
  void startsEmpty() {
    RetryBudget budget = RetryBudget.fresh(at(0));
    assertEquals(false, budget.allows());
    assertTrue(budget.advance(settings(52), 6, at(5)).allows());
  }
}
