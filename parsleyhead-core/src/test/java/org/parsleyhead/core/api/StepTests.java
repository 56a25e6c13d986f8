package org.parsleyhead.core.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A step")
class StepTests {

  @Test
  @DisplayName("has the last state and the effects of all chained steps, in order")
  void chains() {
    Step<Integer, String> chain =
        Step.<Integer, String>of(1)
            .andThen(state -> Step.of(state + 1, "first"))
            .andThen(state -> Step.of(state + 1))
            .andThen(state -> Step.of(state + 1, "second"))
            .with(List.of("third"));
    assertEquals(new Step<>(4, List.of("first", "second", "third")), chain);
  }

  @Test
  @DisplayName("shares its list of effects with a chained step that adds none")
  void sharesEffects() {
    Step<Integer, String> step = new Step<>(1, List.of("first", "second"));
    assertSame(step.effects(), step.andThen(state -> Step.of(state + 1)).effects());
  }
}
