package org.parsleyhead.gateway.upstreams;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A server that takes no connection: its backlog is full, so that the kernel answers no attempt to
 * connect.
 *
 * <p>Confined to one thread.
 */
final class FakeFullServer implements AutoCloseable {

  private static final int MAXIMUM_CONNECTIONS = 64;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 300;

  private final ServerSocket listener;
  private final List<Socket> connections = new ArrayList<>();

  FakeFullServer() throws IOException {
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    while (connect()) {
      if (connections.size() == MAXIMUM_CONNECTIONS) {
        throw new IOException("the backlog takes any number of connections");
      }
    }
  }

  int port() {
    return listener.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    for (Socket connection : connections) {
      connection.close();
    }
    listener.close();
  }

  private boolean connect() throws IOException {
    Socket connection = new Socket();
    connections.add(connection);
    try {
      connection.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLISECONDS);
      return true;
    } catch (SocketTimeoutException exception) {
      return false;
    }
  }
}
