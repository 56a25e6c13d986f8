package org.parsleyhead.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The model of engine ownership")
class OwnershipModelTests {

  private final AlloyRunner runner = new AlloyRunner("ownership.als");

  @ParameterizedTest
  @ValueSource(strings = {"serving_is_never_evicted", "serving_is_never_evicted_over_three_lists"})
  @DisplayName("never evicts an adapter that serves a request")
  void neverEvictsWhatServes(String command) {
    assertFalse(runner.findsInstance(command));
  }

  @Test
  @DisplayName("lets a new owner evict in the end")
  void letsNewOwnerEvict() {
    assertTrue(runner.findsInstance("new_owner_evicts"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "evicts_without_attestations",
        "evicts_without_settling",
        "evicts_without_pin_wait",
        "evicts_without_report"
      })
  @DisplayName("evicts what serves if one rule is left out")
  void evictsWithoutRule(String command) {
    assertTrue(runner.findsInstance(command));
  }

  @Test
  @Tag("long-running")
  @DisplayName("never evicts an adapter that serves a request in longer runs")
  void neverEvictsInLongerRuns() {
    assertFalse(runner.findsInstance("serving_is_never_evicted_deeper"));
  }

  @Test
  @Tag("long-running")
  @DisplayName("evicts what serves if an owner does not notice that its list is old")
  void evictsWhenBehind() {
    assertTrue(runner.findsInstance("evicts_when_behind"));
  }
}
