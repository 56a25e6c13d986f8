package org.parsleyhead.integration.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports below those that the system gives to outgoing connections, so that nobody takes the port of
 * a host that is down.
 *
 * <p>Thread-safe. No port is handed out twice.
 */
final class SoakPorts {

  private static final int FIRST = 10_000;
  private static final int SPAN = 20_000;

  private int next = FIRST + (int) (ProcessHandle.current().pid() * 151 % SPAN);

  /** Returns endpoints on free ports of the loopback address. */
  synchronized List<String> take(int count) {
    List<String> endpoints = new ArrayList<>();
    while (endpoints.size() < count) {
      int port = FIRST + (next++ - FIRST) % SPAN;
      if (free(port)) {
        endpoints.add("127.0.0.1:" + port);
      }
    }
    return endpoints;
  }

  private static boolean free(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.isBound();
    } catch (IOException exception) {
      return false;
    }
  }
}
