package org.parsleyhead.integration.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;

@DisplayName("Allocated ports")
class PortsTests {

  /** The lowest port that Linux gives to outgoing connections by default. */
  private static final int FIRST_OUTGOING_PORT = 32_768;

  private static final int PORTS = 200;

  @Test
  @DisplayName("are distinct and never used by outgoing connections")
  void avoidOutgoingPorts() {
    List<String> endpoints = Ports.allocate(PORTS);
    assertEquals(PORTS, new HashSet<>(endpoints).size());
    for (String endpoint : endpoints) {
      assertTrue(Endpoint.parse(endpoint).port() < FIRST_OUTGOING_PORT, endpoint);
    }
  }
}
