package org.parsleyhead.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("The load that a server told")
class WeightedLoadReportTests {

  private static final MonotonicTime NOW = MonotonicTime.ORIGIN.plus(Duration.ofSeconds(100));

  private static WeightedLoadReport told(int running, int waiting, int ownRunning) {
    return WeightedLoadReport.first(
        new ReportedLoad(running, waiting, 6, OptionalDouble.empty(), Duration.ZERO),
        ownRunning,
        NOW);
  }

  @Test
  @DisplayName(
      "counts the host's own sends and ends since, which guards against a burst by one host")
  void correctsByOwnRequests() {
    WeightedLoadReport load = told(6, 3, 1);
    assertEquals(1.5, load.utilization(1, 0, 6, NOW), 1e-9);
    assertEquals(2, load.utilization(4, 0, 6, NOW), 1e-9);
    assertEquals(8.0 / 6, load.utilization(0, 0, 6, NOW), 1e-9);
  }

  @Test
  @DisplayName("counts by half after 300 ms, which guards against a load that is over")
  void ages() {
    WeightedLoadReport load = told(6, 6, 0);
    assertEquals(1.25, load.utilization(0, 3, 6, NOW.plus(Duration.ofMillis(300))), 1e-9);
    assertEquals(0.5, load.utilization(0, 3, 6, NOW.plus(Duration.ofSeconds(30))), 1e-9);
  }

  @Test
  @DisplayName("is bounded by the host's own requests and by a full server")
  void isBounded() {
    assertEquals(1, told(0, 0, 6).utilization(6, 0, 6, NOW), 1e-9);
    assertEquals(8, told(999_999, 999_999, 0).utilization(0, 0, 6, NOW), 1e-9);
  }

  @Test
  @DisplayName("counts less when responses contradict it, until they confirm it again")
  void losesTrust() {
    WeightedLoadReport load = told(0, 30, 0);
    for (int response = 0; response < 4; response++) {
      load = load.withEvidence(true);
    }
    assertTrue(load.utilization(0, 0, 6, NOW) < 0.5, load.toString());
    for (int response = 0; response < 20; response++) {
      load = load.withEvidence(false);
    }
    assertEquals(1, load.trust(), 1e-9);
  }

  @Test
  @DisplayName("of a server that refuses although it told of room is doubted")
  void doubtsRoomThatIsRefused() {
    DispatchFixture host =
        DispatchFixture.ofPlainPool(
            Duration.ofMillis(120), DispatchFixture.plainWithSlots("s0", 6));
    DispatchEffect.Send send =
        DispatchFixture.only(host.receive("/book/", Optional.empty()), DispatchEffect.Send.class);
    host.apply(
        new DispatchEvent.AttemptEnded(
            send.request().key(),
            send.attempt(),
            new AttemptResult(AttemptOutcome.NO_ROOM, 503, false, true, Optional.empty(), ""),
            Optional.of(told(0, 0, 0).report())));
    ServerCondition condition = host.state().instances().find("s0").orElseThrow().condition();
    assertEquals(0.5, condition.load().orElseThrow().trust(), 1e-9);
  }
}
