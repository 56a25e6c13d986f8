package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.runtime.settings.SettingsException;
import org.parsleyhead.runtime.settings.SettingsReader;

@DisplayName("The time for a planned stop")
class GatewaySettingsReaderTests {

  private static final String ENDPOINTS =
      """
      callers.endpoint = "127.0.0.1:1"
      readiness.endpoint = "127.0.0.1:2"
      peers.endpoint = "127.0.0.1:3"
      publication.endpoint = "127.0.0.1:4"
      host.name = "host"
      host.failure_domain = "domain"
      """;

  private static Duration stopTime(String process) {
    return GatewaySettingsReader.read(SettingsReader.parse(ENDPOINTS + process)).stopTimeout();
  }

  @Test
  @DisplayName("is 7 s without settings, for a grace of 8 s")
  void hasDefault() {
    assertEquals(Duration.ofSeconds(7), stopTime(""));
  }

  /** A process that the platform kills cuts the requests that it still serves. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 8, 30, 300})
  @DisplayName("ends before the grace of the platform, and uses most of it")
  void followsGrace(int seconds) {
    Duration grace = Duration.ofSeconds(seconds);
    Duration stopTime = stopTime("process.grace = \"" + seconds + " s\"");
    Duration left = grace.minus(stopTime);
    assertTrue(left.compareTo(Duration.ofMillis(100)) >= 0, () -> "left " + left);
    assertTrue(left.compareTo(Duration.ofSeconds(1)) <= 0, () -> "left " + left);
    assertTrue(left.compareTo(grace.dividedBy(6)) < 0, () -> "left " + left);
  }

  @Test
  @DisplayName("is what the settings say, whatever the grace")
  void takesStopTime() {
    assertEquals(
        Duration.ofSeconds(3), stopTime("process.grace = \"30 s\"\nprocess.stop_time = \"3 s\""));
  }

  @ParameterizedTest
  @ValueSource(strings = {"grace = \"0 s\"", "grace = \"2 h\"", "stop_time = \"0 s\""})
  @DisplayName("is rejected out of its limits")
  void rejectsOutOfLimits(String setting) {
    assertThrows(SettingsException.class, () -> stopTime("process." + setting));
  }
}
