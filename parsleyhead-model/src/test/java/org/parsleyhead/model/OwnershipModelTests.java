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
  @ValueSource(
      strings = {
        "serving_adapter_is_never_evicted",
        "serving_adapter_is_never_evicted_with_three_lists"
      })
  @DisplayName("never evicts an adapter that serves a request")
  void neverEvictsServingAdapter(String command) {
    assertFalse(runner.findsInstance(command));
  }

  @Test
  @DisplayName("allows a new owner to evict the adapter eventually")
  void allowsNewOwnerToEvict() {
    assertTrue(runner.findsInstance("new_owner_evicts"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "evicts_without_attestations",
        "evicts_without_takeover_delay",
        "evicts_without_pin_expiry",
        "evicts_without_report"
      })
  @DisplayName("evicts an adapter that serves a request if one rule is omitted")
  void evictsWithoutRule(String command) {
    assertTrue(runner.findsInstance(command));
  }

  @Test
  @Tag("long-running")
  @DisplayName("never evicts an adapter that serves a request on longer traces")
  void neverEvictsOnLongerTraces() {
    assertFalse(runner.findsInstance("serving_adapter_is_never_evicted_on_longer_traces"));
  }

  @Test
  @Tag("long-running")
  @DisplayName(
      "evicts an adapter that serves a request if an owner ignores that its list is outdated")
  void evictsWithOutdatedList() {
    assertTrue(runner.findsInstance("evicts_with_outdated_list"));
  }
}
