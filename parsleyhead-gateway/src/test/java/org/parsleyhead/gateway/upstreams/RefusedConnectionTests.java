package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;

@DisplayName("An attempt at a server that takes no connection")
class RefusedConnectionTests {

  private static void assertNotSent(int port) throws Exception {
    try (ForwardingHost host = new ForwardingHost(port);
        Socket caller = host.request("/stream", "r")) {
      AttemptResult result = host.nextEnd().result();
      assertEquals(AttemptOutcome.NOT_SENT, result.outcome());
      assertTrue(result.outcome().notRun());
      assertFalse(result.responseStarted());
      assertTrue(caller.isConnected());
    }
  }

  @Test
  @DisplayName("ends as not run if its backlog is full")
  void endsAtFullBacklog() throws Exception {
    try (FakeFullServer server = new FakeFullServer()) {
      assertNotSent(server.port());
    }
  }

  @Test
  @DisplayName("ends as not run if nothing listens there")
  void endsWithoutListener() throws Exception {
    assertNotSent(unusedPort());
  }

  private static int unusedPort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }
}
