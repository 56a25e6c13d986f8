package org.parsleyhead.standin.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.standin.StandinException;

/**
 * Connections that fill the queue of a listener that does not accept any, so that the kernel
 * ignores requests for further ones.
 *
 * <p>Not thread-safe. Its methods block.
 */
final class QueueFiller implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLISECONDS = 100;

  private final List<Socket> connections = new ArrayList<>();

  /**
   * Opens connections until the kernel completes no further one.
   *
   * @param limit the maximum number of connections, which exceeds the length of the queue
   * @throws StandinException if a connection fails, or if the limit does not fill the queue
   */
  void fill(Endpoint endpoint, int limit) {
    InetSocketAddress address = new InetSocketAddress(endpoint.address(), endpoint.port());
    for (int count = 0; count < limit; count++) {
      Socket socket = new Socket();
      connections.add(socket);
      try {
        socket.connect(address, CONNECT_TIMEOUT_MILLISECONDS);
      } catch (SocketTimeoutException exception) {
        return;
      } catch (IOException exception) {
        throw failure(endpoint, exception.getMessage());
      }
    }
    throw failure(endpoint, "the queue takes more than " + limit + " connections");
  }

  @Override
  public void close() {
    for (Socket connection : connections) {
      try {
        connection.close();
      } catch (IOException exception) {
        throw new StandinException(
            StandinException.LISTENER_FAILED, "cannot close a connection", exception);
      }
    }
    connections.clear();
  }

  private static StandinException failure(Endpoint endpoint, String reason) {
    return new StandinException(
        StandinException.LISTENER_FAILED, "cannot fill the queue of " + endpoint + ": " + reason);
  }
}
