package org.parsleyhead.integration.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports on the loopback address.
 *
 * <p>Thread-safe. The ports lie below those that systems give to outgoing connections, so that none
 * of these takes one before it is opened, and no port is returned twice until all were. Processes
 * that run at the same time begin at different ports.
 */
public final class Ports {

  /** The address that all processes listen on. */
  public static final String LOOPBACK = "127.0.0.1";

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;

  /** Distance between the first ports of processes with successive identifiers. */
  private static final int PORTS_PER_PROCESS = 151;

  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

  private Ports() {}

  /** Returns endpoints on distinct ports that are free but not reserved. */
  public static List<String> allocate(int count) {
    List<String> endpoints = new ArrayList<>();
    for (int tried = 0; tried < PORT_COUNT && endpoints.size() < count; tried++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        endpoints.add(LOOPBACK + ":" + port);
      }
    }
    if (endpoints.size() < count) {
      throw new FleetException("no free ports");
    }
    return endpoints;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
      return socket.isBound();
    } catch (IOException taken) {
      return false;
    }
  }
}
