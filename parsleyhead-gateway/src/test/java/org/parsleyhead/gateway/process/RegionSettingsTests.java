package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.runtime.settings.SettingsException;
import org.parsleyhead.runtime.settings.SettingsReader;

@DisplayName("The settings of the regions")
class RegionSettingsTests {

  private static final String REQUIRED =
      """
      callers.endpoint = "127.0.0.1:1"
      readiness.endpoint = "127.0.0.1:2"
      peers.endpoint = "127.0.0.1:3"
      publication.endpoint = "127.0.0.1:4"
      host.name = "host"
      host.failure_domain = "domain"
      """;

  private static GatewaySettings read(String regions) {
    return GatewaySettingsReader.read(SettingsReader.parse(REQUIRED + regions));
  }

  @Test
  @DisplayName("map each failure domain to its region; none is known without the setting")
  void readsRegions() {
    GatewaySettings settings = read("regions.domains = [\"a=north\", \"b=south\"]");
    assertEquals(
        Map.of(
            new FailureDomainName("a"),
            new RegionName("north"),
            new FailureDomainName("b"),
            new RegionName("south")),
        settings.regions());
    assertEquals(Map.of(), read("").regions());
  }

  @ParameterizedTest
  @ValueSource(strings = {"[\"a\"]", "[\"=b\"]", "[\"a=\"]", "[\"a=b\", \"a=c\"]", "\"a=b\""})
  @DisplayName("are rejected if they are invalid or contradict each other")
  void rejectsRegions(String regions) {
    assertThrows(SettingsException.class, () -> read("regions.domains = " + regions));
  }
}
