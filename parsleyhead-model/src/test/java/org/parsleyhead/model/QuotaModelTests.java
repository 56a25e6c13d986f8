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
  @ValueSource(strings = {"shares_keep_bound", "shares_keep_bound_with_three_lists"})
  @DisplayName("keeps the total of all shares in use within the limit")
  void keepsBound(String command) {
    assertFalse(runner.findsInstance(command));
  }

  @ParameterizedTest
  @Tag("long-running")
  @ValueSource(
      strings = {"shares_keep_bound_on_longer_traces", "shares_keep_bound_with_four_hosts"})
  @DisplayName("keeps the total of all shares in use within the limit on longer traces")
  void keepsBoundOnLongerTraces(String command) {
    assertFalse(runner.findsInstance(command));
  }

  @Test
  @DisplayName("allows a new allocation to be used")
  void allowsNewAllocation() {
    assertTrue(runner.findsInstance("new_allocation_is_used"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"bound_exceeded_without_install_delay", "bound_exceeded_without_shrinking"})
  @DisplayName("exceeds the limit if one rule is omitted")
  void exceedsLimitWithoutRule(String command) {
    assertTrue(runner.findsInstance(command));
  }

  @ParameterizedTest
  @Tag("long-running")
  @ValueSource(strings = {"bound_exceeded_without_merging", "bound_exceeded_without_join_rule"})
  @DisplayName("exceeds the limit if one rule is omitted, on longer traces")
  void exceedsLimitWithoutRuleOnLongerTraces(String command) {
    assertTrue(runner.findsInstance(command));
  }
}
