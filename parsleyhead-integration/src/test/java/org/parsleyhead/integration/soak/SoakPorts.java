package org.parsleyhead.integration.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Allocates ports below the ephemeral port range, so that no outgoing connection occupies the port
 * of a host that is down.
 *
 * <p>Thread-safe. No port is allocated twice.
 */
final class SoakPorts {

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;

  private int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() * 151 % PORT_COUNT);

  /** Returns endpoints on free ports of the loopback address. */
  synchronized List<String> allocate(int count) {
    List<String> endpoints = new ArrayList<>();
    while (endpoints.size() < count) {
      int port = FIRST_PORT + (nextPort++ - FIRST_PORT) % PORT_COUNT;
      if (isFree(port)) {
        endpoints.add("127.0.0.1:" + port);
      }
    }
    return endpoints;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.isBound();
    } catch (IOException exception) {
      return false;
    }
  }
}
