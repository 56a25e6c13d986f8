package org.parsleyhead.integration.measure;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The cores under measurement")
class SlopesTests {

  @Test
  @DisplayName("send the same number of membership messages from each host, whatever the fleet")
  void membershipIsBounded() {
    double small = MembershipSlopes.measure(12, 6).number("sent_messages_per_second");
    double large = MembershipSlopes.measure(24, 6).number("sent_messages_per_second");
    assertAll(() -> assertTrue(small > 0), () -> assertEquals(small, large, small / 10));
  }

  @Test
  @DisplayName("own all engines if they are alone")
  void ownsAllEngines() {
    assertEquals(12, EngineSlopes.ownership(12).number("owned"));
  }

  @Test
  @DisplayName("admit requests within the limits")
  void admitsWithinLimits() {
    assertEquals(20_000, QuotaSlopes.measure(5).number("admitted"));
  }
}
