package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("The pace of a server")
class ServerPaceTests {

  private static final MonotonicTime NOW = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));
  private static final OptionalDouble NONE = OptionalDouble.empty();

  private static ServerPace told(ServerPace pace, double reported) {
    return pace.withResponse(
        OptionalDouble.of(reported), Duration.ZERO, NONE, ServerPace.MINIMUM, NOW);
  }

  private static ServerPace both(ServerPace pace, double reported, double measured) {
    return pace.withResponse(
        OptionalDouble.of(reported),
        Duration.ZERO,
        OptionalDouble.of(measured),
        ServerPace.MINIMUM,
        NOW);
  }

  @Test
  @DisplayName("is the reported one, within bounds, which guards against absurd values")
  void isBounded() {
    assertEquals(2, told(ServerPace.USUAL, 2).at(NOW), 1e-9);
    assertEquals(8, told(ServerPace.USUAL, 9999).at(NOW), 1e-9);
    assertEquals(0.25, told(ServerPace.USUAL, 0.01).at(NOW), 1e-9);
  }

  @Test
  @DisplayName("loses half of its deviation in 500 ms, which guards against an old slow phase")
  void decays() {
    ServerPace pace = told(ServerPace.USUAL, 4);
    assertEquals(2, pace.at(NOW.plus(Duration.ofMillis(500))), 1e-9);
    assertEquals(1, pace.at(NOW.plus(Duration.ofSeconds(30))), 1e-9);
    ServerPace old =
        ServerPace.USUAL.withResponse(
            OptionalDouble.of(4), Duration.ofMillis(500), NONE, ServerPace.MINIMUM, NOW);
    assertEquals(2, old.at(NOW), 1e-9);
  }

  @Test
  @DisplayName("follows observations where nothing is reported, one response counting by half")
  void followsObservations() {
    ServerPace pace =
        ServerPace.USUAL.withResponse(
            NONE, Duration.ZERO, OptionalDouble.of(4), ServerPace.MINIMUM, NOW);
    assertEquals(1, pace.trust(), 1e-9);
    ServerPace silent = both(both(both(both(ServerPace.USUAL, 1, 4), 1, 4), 1, 4), 1, 4);
    assertTrue(silent.at(NOW) > 2, silent.toString());
  }

  @Test
  @DisplayName("is little changed by reports that observations contradict, in both directions")
  void distrustsWrongReports() {
    ServerPace slow = ServerPace.USUAL;
    ServerPace fast = ServerPace.USUAL;
    for (int response = 0; response < 8; response++) {
      slow = both(slow, 8, 1);
      fast = both(fast, 0.25, 4);
    }
    assertTrue(slow.at(NOW) < 1.5, slow.toString());
    assertTrue(fast.at(NOW) > 2.5, fast.toString());
  }

  @Test
  @DisplayName("is believed again once reports are right, which guards against lasting distrust")
  void trustsAgain() {
    ServerPace pace = ServerPace.USUAL;
    for (int response = 0; response < 8; response++) {
      pace = both(pace, 8, 1);
    }
    for (int response = 0; response < 8; response++) {
      pace = both(pace, 4, 4);
    }
    assertEquals(4, pace.at(NOW), 0.5);
  }
}
