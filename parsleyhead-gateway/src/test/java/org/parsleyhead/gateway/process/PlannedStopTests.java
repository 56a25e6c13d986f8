package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.dispatch.StopPlan;
import org.parsleyhead.core.dispatch.StopStage;

@DisplayName("A planned stop")
class PlannedStopTests {

  private static final Duration TIMEOUT = Duration.ofSeconds(7);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));

  private final List<StopPlan> plans = new ArrayList<>();
  private final List<MonotonicTime> plannedAt = new ArrayList<>();
  private Optional<MonotonicTime> portClosedAt = Optional.empty();
  private boolean takenAsPortCloses;
  private MonotonicTime now = START;
  private MonotonicTime takenAt = START;
  private MonotonicTime endsAt = START;

  /** Runs a stop while one request is active from one time to another. */
  private int stopWithRequest(Duration taken, Duration ended) {
    return stopWithRequest(taken, ended, TIMEOUT);
  }

  private int stopWithRequest(Duration taken, Duration ended, Duration timeout) {
    takenAt = START.plus(taken);
    endsAt = START.plus(ended);
    return new PlannedStop(
            () -> now,
            time -> now = time,
            this::planned,
            () -> {},
            this::closePort,
            this::unanswered)
        .run(timeout);
  }

  private void planned(StopPlan plan) {
    plans.add(plan);
    plannedAt.add(now);
  }

  private void closePort() {
    portClosedAt = Optional.of(now);
  }

  private int unanswered() {
    if (takenAsPortCloses && portClosedAt.equals(Optional.of(now.minus(CHECK_INTERVAL)))) {
      takenAsPortCloses = false;
      return 1;
    }
    return !now.isBefore(takenAt) && now.isBefore(endsAt) ? 1 : 0;
  }

  private Duration elapsed() {
    return now.since(START);
  }

  @Test
  @DisplayName("waits for a request that is taken after the last look at the active ones")
  void waitsForLastRequest() {
    Duration afterLastLook = Duration.ofMillis(2_850);
    assertEquals(0, stopWithRequest(afterLastLook, Duration.ofMillis(4_500)));
    assertTrue(elapsed().compareTo(Duration.ofMillis(4_500)) >= 0, () -> "after " + elapsed());
  }

  @Test
  @DisplayName("gives up a request that does not end in time, and says so")
  void endsAtTimeout() {
    assertEquals(1, stopWithRequest(Duration.ZERO, Duration.ofSeconds(60)));
    assertTrue(elapsed().compareTo(TIMEOUT) <= 0, () -> "after " + elapsed());
  }

  @Test
  @DisplayName("refuses what may not end in time from its first moment, and everything afterwards")
  void refusesInOrder() {
    stopWithRequest(Duration.ZERO, Duration.ofSeconds(3));
    assertEquals(
        List.of(StopStage.REJECT_LATE, StopStage.REJECT_ALL),
        plans.stream().map(StopPlan::stage).toList());
    assertEquals(START, plannedAt.get(0));
    assertTrue(plans.get(0).answersEndBy().isBefore(START.plus(TIMEOUT)), plans::toString);
  }

  @Test
  @DisplayName("admits until the load balancer has noticed it, if there is time for that")
  void admitsUntilDetected() {
    stopWithRequest(Duration.ZERO, Duration.ZERO);
    Duration admitted = plannedAt.get(1).since(START);
    assertTrue(admitted.compareTo(Duration.ofMillis(2_700)) >= 0, () -> "until " + admitted);
  }

  @Test
  @DisplayName("refuses everything before a short time is over")
  void refusesBeforeShortTimeIsOver() {
    stopWithRequest(Duration.ZERO, Duration.ofSeconds(60), Duration.ofSeconds(2));
    assertTrue(plannedAt.get(1).isBefore(START.plus(Duration.ofSeconds(2))), plannedAt::toString);
    assertTrue(
        plans.get(0).answersEndBy().isBefore(START.plus(Duration.ofSeconds(2))), plans::toString);
  }

  @Test
  @DisplayName("ends as soon as all is answered once the load balancer has noticed it")
  void endsOnceAllIsAnswered() {
    assertEquals(0, stopWithRequest(Duration.ZERO, Duration.ofMillis(500)));
    Duration limit = Duration.ofMillis(2_700).plus(CHECK_INTERVAL.multipliedBy(3));
    assertTrue(elapsed().compareTo(limit) <= 0, () -> "after " + elapsed());
  }

  @Test
  @DisplayName("closes the port at last, and then waits for what was taken until that")
  void waitsForRequestTakenAsPortCloses() {
    takenAsPortCloses = true;
    assertEquals(0, stopWithRequest(Duration.ZERO, Duration.ofSeconds(4)));
    Duration closed = portClosedAt.orElseThrow().since(START);
    assertTrue(closed.compareTo(Duration.ofSeconds(4)) >= 0, () -> "port closed after " + closed);
    assertEquals(CHECK_INTERVAL.multipliedBy(2), elapsed().minus(closed));
  }
}
