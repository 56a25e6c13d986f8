package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.dispatch.StopStage;

@DisplayName("A planned stop")
class PlannedStopTests {

  private static final Duration TIMEOUT = Duration.ofSeconds(7);
  private static final MonotonicTime START = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));

  private final List<StopStage> stages = new ArrayList<>();
  private MonotonicTime now = START;
  private MonotonicTime takenAt = START;
  private MonotonicTime endsAt = START;

  /** Runs a stop while one request is active from one time to another. */
  private int stopWithRequest(Duration taken, Duration ended) {
    takenAt = START.plus(taken);
    endsAt = START.plus(ended);
    return new PlannedStop(
            () -> now, time -> now = time, stages::add, () -> {}, this::activeRequests)
        .run(TIMEOUT);
  }

  private int activeRequests() {
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
    assertTrue(elapsed().compareTo(TIMEOUT.plusMillis(700)) < 0, () -> "after " + elapsed());
  }

  @Test
  @DisplayName("refuses streams first and everything afterwards")
  void refusesInOrder() {
    stopWithRequest(Duration.ZERO, Duration.ofSeconds(3));
    assertEquals(List.of(StopStage.REJECT_STREAMS, StopStage.REJECT_ALL), stages);
  }
}
