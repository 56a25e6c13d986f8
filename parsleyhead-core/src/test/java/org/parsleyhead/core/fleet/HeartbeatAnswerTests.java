package org.parsleyhead.core.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("An answer to a heartbeat")
class HeartbeatAnswerTests {

  @Test
  @DisplayName("counts its votes for the claims of the heartbeat")
  void countsVotes() {
    FakeClaimant process = new FakeClaimant(4_000);
    assertTrue(process.wonBy(process.lastNonce()));
  }

  @Test
  @DisplayName("counts no votes for the process that runs after the one that it answers")
  void countsNoVotesForNextProcess() {
    FakeClaimant former = new FakeClaimant(4_000);
    FakeClaimant next = new FakeClaimant(900_000_000);
    assertFalse(next.wonBy(former.lastNonce()));
  }
}
