package org.parsleyhead.integration.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on the loopback address. Stateless and thread-safe. */
public final class Ports {

  /** The address that all processes listen on. */
  public static final String LOOPBACK = "127.0.0.1";

  private Ports() {}

  /** Returns endpoints on distinct ports that are free but not reserved. */
  public static List<String> allocate(int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> endpoints = new ArrayList<>();
    try {
      for (int index = 0; index < count; index++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
        sockets.add(socket);
        endpoints.add(LOOPBACK + ":" + socket.getLocalPort());
      }
      for (ServerSocket socket : sockets) {
        socket.close();
      }
      return endpoints;
    } catch (IOException exception) {
      throw new FleetException("no free ports", exception);
    }
  }
}
