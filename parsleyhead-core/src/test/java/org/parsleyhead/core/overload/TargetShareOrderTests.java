package org.parsleyhead.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The order by shares of the latency target")
class TargetShareOrderTests {

  private static final int LATE_WAIT = 900;

  private final RankOrder order = new TargetShareOrder();

  private static RequestRank rank(int priority, long waited, long target, long limit, long work) {
    return new RequestRank(priority, millis(waited), millis(target), millis(limit), millis(work));
  }

  private static Duration millis(long value) {
    return Duration.ofMillis(value);
  }

  private void assertFirst(RequestRank first, RequestRank second) {
    assertTrue(order.turn(first).compareTo(order.turn(second)) < 0);
  }

  @Test
  @DisplayName("serves the more urgent, the longer waiting and the smaller request first")
  void prefers() {
    RequestRank base = rank(1, 100, 1_000, 5_000, 240);
    assertFirst(rank(0, 100, 1_000, 5_000, 240), base);
    assertFirst(rank(1, 150, 1_000, 5_000, 240), base);
    assertFirst(rank(1, 100, 1_000, 5_000, 75), base);
    assertFirst(rank(1, 100, 120, 1_000, 75), base);
  }

  @Test
  @DisplayName("serves requests that can meet their target before one that cannot (not as EDF)")
  void defersLateRequests() {
    assertFirst(rank(2, 0, 2_000, 15_000, 50), rank(0, LATE_WAIT, 1_000, 5_000, 240));
  }

  @Test
  @DisplayName("lets no priority starve: a late request is first before its deadline")
  void starvesNobody() {
    RequestRank urgentArrival = rank(0, 0, 1_000, 5_000, 75);
    for (int priority = 0; priority < 10; priority++) {
      assertFirst(rank(priority, 14_000, 2_000, 15_000, 240), urgentArrival);
    }
  }

  @Test
  @DisplayName("changes the turn of a waiting request only when it becomes late, and never forward")
  void keepsTurn() {
    RequestRank rank = rank(0, 0, 1_000, 5_000, 240);
    Duration turn = order.turn(rank);
    assertEquals(turn, order.turn(rank.after(millis(500))).plusMillis(500));
    Duration late = order.turn(rank.after(millis(800))).plusMillis(800);
    assertTrue(late.compareTo(turn) > 0);
    assertEquals(late, order.turn(rank.after(millis(3_000))).plusMillis(3_000));
  }
}
