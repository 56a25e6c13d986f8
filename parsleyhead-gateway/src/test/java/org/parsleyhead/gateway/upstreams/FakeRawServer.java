package org.parsleyhead.gateway.upstreams;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that answers each request with the bytes of a script, valid HTTP or not.
 *
 * <p>Thread-safe; one thread for each connection.
 */
public final class FakeRawServer implements AutoCloseable {

  /** Writes the answer to one request. Called on the thread of the connection. */
  @FunctionalInterface
  public interface Script {

    /** Writes bytes to the caller; may go on until writing fails. */
    void answer(String identifier, OutputStream output) throws IOException;
  }

  private final ServerSocket listener;
  private final Script script;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger endedConnections = new AtomicInteger();

  /** Creates a server that answers each request by a script. */
  public FakeRawServer(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  /** Returns the port. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of connections that were accepted. */
  int connections() {
    return connections.get();
  }

  /** Returns the number of connections that the other side has closed. */
  public int endedConnections() {
    return endedConnections.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connections.incrementAndGet();
        start(() -> serve(socket));
      }
    } catch (IOException closed) {
      // The test closed the listener.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String identifier = "";
      String line = input.readLine();
      while (line != null) {
        if (line.regionMatches(true, 0, "id:", 0, 3)) {
          identifier = line.substring(3).strip();
        }
        if (line.isEmpty()) {
          script.answer(identifier, socket.getOutputStream());
        }
        line = input.readLine();
      }
    } catch (IOException closed) {
      // The other side closed the connection while the script was writing.
    } finally {
      endedConnections.incrementAndGet();
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }
}
