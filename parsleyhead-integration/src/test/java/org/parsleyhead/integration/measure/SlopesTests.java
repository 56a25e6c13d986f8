package org.parsleyhead.integration.measure;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The benchmarks of the cores")
class SlopesTests {

  @Test
  @DisplayName("send the same number of membership messages from each host at any fleet size")
  void membershipIsBounded() {
    double small = MembershipBenchmark.measure(12, 6).number("sent_messages_per_second");
    double large = MembershipBenchmark.measure(24, 6).number("sent_messages_per_second");
    assertAll(() -> assertTrue(small > 0), () -> assertEquals(small, large, small / 10));
  }

  @Test
  @DisplayName("own all engines on a host without peers")
  void ownsAllEngines() {
    assertEquals(12, EngineBenchmark.measureOwnership(12).number("owned"));
  }

  @Test
  @DisplayName("admit requests within the limits")
  void admitsWithinLimits() {
    assertEquals(20_000, QuotaBenchmark.measure(5).number("admitted"));
  }
}
