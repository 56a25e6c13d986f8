package org.parsleyhead.standin.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.MonotonicTime;

@DisplayName("One direction of a proxy connection")
class DirectionStateTests {

  private static final MonotonicTime NOW = MonotonicTime.ORIGIN;

  @Test
  @DisplayName("forwards the configured number of bytes and then resets")
  void resetsInMidMessage() {
    DirectionState.Decision first = state(DirectionFault.resetAfter(10)).decide(6, NOW);
    assertFalse(first.reset());
    DirectionState.Decision second = first.state().decide(6, NOW);
    assertEquals(4, second.forwardedLength());
    assertTrue(second.reset());
  }

  @Test
  @DisplayName("drops all bytes in the mode swallow")
  void swallows() {
    assertEquals(0, state(DirectionFault.swallow()).decide(6, NOW).forwardedLength());
  }

  @Test
  @DisplayName("does not read in the mode hold")
  void holds() {
    assertFalse(state(DirectionFault.hold()).isReading());
  }

  @Test
  @DisplayName("keeps the order of bytes when the delay is reduced")
  void keepsOrder() {
    DirectionState slow = state(DirectionFault.delayed(Duration.ofMillis(50)));
    DirectionState fast = slow.decide(1, NOW).state().withFault(DirectionFault.NONE);
    assertEquals(Duration.ofMillis(40), fast.decide(1, NOW.plus(Duration.ofMillis(10))).delay());
  }

  private static DirectionState state(DirectionFault fault) {
    return DirectionState.initial(fault, NOW);
  }
}
