package org.parsleyhead.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The runner of Alloy models")
class AlloyRunnerTests {

  private final AlloyRunner runner = new AlloyRunner("smoke.als");

  @Test
  @DisplayName("finds an example of a satisfiable predicate")
  void findsExample() {
    assertTrue(runner.findsInstance("light_can_change"));
  }

  @Test
  @DisplayName("finds no counterexample of a valid assertion")
  void findsNoCounterexample() {
    assertFalse(runner.findsInstance("light_stays_on"));
  }

  @Test
  @DisplayName("finds the counterexample of an invalid assertion")
  void findsCounterexample() {
    assertTrue(runner.findsInstance("light_never_changes"));
  }
}
