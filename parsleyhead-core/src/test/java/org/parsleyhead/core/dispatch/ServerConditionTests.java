package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("The condition of a server")
class ServerConditionTests {

  private static final MonotonicTime NOW = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));

  private static ServerCondition reported(
      ServerCondition condition, int running, double pace, Duration age) {
    return condition.withResponse(
        Optional.of(new ReportedLoad(running, 0, 8, OptionalDouble.of(pace), age)),
        0,
        OptionalDouble.empty(),
        ServerPace.MINIMUM,
        NOW);
  }

  @Test
  @DisplayName(
      "keeps the newest report, which guards against the late report of a stream that waited for"
          + " its first event")
  void keepsNewestReport() {
    ServerCondition condition = reported(ServerCondition.UNREPORTED, 2, 1, Duration.ofMillis(10));
    ServerCondition late = reported(condition, 8, 4, Duration.ofMillis(300));
    assertEquals(condition, late);
    assertEquals(4, reported(late, 8, 4, Duration.ZERO).paceAt(NOW), 1e-9);
  }

  @Test
  @DisplayName("is unknown while the server reports nothing, however slow its responses are")
  void staysUnreported() {
    ServerCondition condition =
        ServerCondition.UNREPORTED.withResponse(
            Optional.empty(), 3, OptionalDouble.of(8), ServerPace.MINIMUM, NOW);
    assertFalse(condition.reported());
    assertEquals(1, condition.paceAt(NOW), 0);
  }
}
