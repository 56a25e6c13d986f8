package org.parsleyhead.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The Alloy runner")
class AlloyRunnerTests {

  private final AlloyRunner runner = new AlloyRunner("smoke.als");

  @Test
  @DisplayName("finds an example for a satisfiable predicate")
  void findsExample() {
    assertTrue(runner.findsInstance("light_can_change"));
  }

  @Test
  @DisplayName("finds no counterexample for a valid assertion")
  void findsNoCounterexample() {
    assertFalse(runner.findsInstance("light_stays_on"));
  }

  @Test
  @DisplayName("finds a counterexample for an invalid assertion")
  void findsCounterexample() {
    assertTrue(runner.findsInstance("light_never_changes"));
  }
}
