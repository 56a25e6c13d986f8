package org.parsleyhead.integration.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The outcome of a planned stop")
class StopOutcomeTests {

  private static String unanswered(int afterSignal, int active) {
    return "event=unanswered request=r1 instance=i-5 attempts=3 after_signal_ms=%d active_ms=%d%n"
        .formatted(afterSignal, active);
  }

  private static boolean kept(String log) {
    return new StopOutcome(1, log).kept();
  }

  @Test
  @DisplayName("is kept if all requests were answered")
  void isKept() {
    assertTrue(new StopOutcome(0, "event=stopped unanswered=0").kept());
  }

  @Test
  @DisplayName("is kept if a request that was taken before the signal outlasted the stop")
  void isKeptWithLongRequest() {
    assertTrue(kept(unanswered(-435, 7_446) + "event=stopped unanswered=1"));
  }

  @Test
  @DisplayName("is not kept if a request was taken after the signal")
  void isNotKeptWithLateRequest() {
    assertFalse(kept(unanswered(10, 7_446) + "event=stopped unanswered=1"));
  }

  @Test
  @DisplayName("is not kept if the stop ended before its time")
  void isNotKeptBeforeItsTime() {
    assertFalse(kept(unanswered(-435, 7_400) + "event=stopped unanswered=1"));
  }

  @Test
  @DisplayName("is not kept if a request is not named")
  void isNotKeptWithoutName() {
    assertFalse(kept(unanswered(-435, 7_446) + "event=stopped unanswered=2"));
    assertFalse(kept("event=stopped unanswered=0"));
    assertFalse(kept(""));
  }

  @Test
  @DisplayName("is not kept if the process was killed")
  void isNotKeptIfKilled() {
    assertFalse(
        new StopOutcome(137, unanswered(-435, 7_446) + "event=stopped unanswered=1").kept());
  }
}
