package org.parsleyhead.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A report of a model server")
class EngineReportTests {

  private final FakeClaimant owner = new FakeClaimant(4_000);

  @BeforeEach
  void own() {
    assertTrue(owner.wonBy(owner.lastNonce()));
  }

  @Test
  @DisplayName("tells nothing about a run that has begun since")
  void tellsNothingAboutNextRun() {
    owner.announce(500);
    assertFalse(owner.knownBy(1));
  }

  @Test
  @DisplayName("tells about the announced run and a later one")
  void tellsAboutItsRun() {
    assertTrue(owner.knownBy(1));
    owner.announce(500);
    assertTrue(owner.knownBy(600));
  }
}
