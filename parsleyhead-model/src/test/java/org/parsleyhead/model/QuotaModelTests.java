package org.parsleyhead.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The model of quota shares")
class QuotaModelTests {

  private final AlloyRunner runner = new AlloyRunner("quota.als");

  @ParameterizedTest
  @ValueSource(strings = {"shares_keep_bound", "shares_keep_bound_over_three_lists"})
  @DisplayName("keeps the sum of the shares in use within the whole")
  void keepsBound(String command) {
    assertFalse(runner.findsInstance(command));
  }

  @ParameterizedTest
  @Tag("long-running")
  @ValueSource(strings = {"shares_keep_bound_deeper", "shares_keep_bound_of_four"})
  @DisplayName("keeps the sum of the shares in use within the whole on longer traces")
  void keepsBoundOnLongerTraces(String command) {
    assertFalse(runner.findsInstance(command));
  }

  @Test
  @DisplayName("lets a new cut come into use")
  void isNotEmpty() {
    assertTrue(runner.findsInstance("new_cut_comes_into_use"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"bound_without_wait", "bound_without_shrink"})
  @DisplayName("exceeds the whole with one of the rules left out")
  void breaksWithoutRule(String command) {
    assertTrue(runner.findsInstance(command));
  }

  @ParameterizedTest
  @Tag("long-running")
  @ValueSource(strings = {"bound_without_merge", "bound_without_entry"})
  @DisplayName("exceeds the whole with one of the rules left out, on longer traces")
  void breaksWithoutRuleOnLongerTraces(String command) {
    assertTrue(runner.findsInstance(command));
  }
}
