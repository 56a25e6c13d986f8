package org.parsleyhead.integration;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.integration.fleet.FleetException;

/** A TCP connection that sends and receives raw bytes. Confined to one thread. */
public final class RawConnection {

  private static final int READ_TIMEOUT_MILLISECONDS = 60_000;

  private final Socket socket;
  private final StringBuilder received = new StringBuilder();

  private RawConnection(Socket socket) {
    this.socket = socket;
  }

  /**
   * Sends a request and returns the bytes received up to the end of the response headers.
   *
   * @throws FleetException if the connection closes before
   */
  public static String send(String endpoint, String request) {
    RawConnection connection = connect(endpoint);
    connection.write(request);
    connection.awaitText("\r\n\r\n");
    connection.close();
    return connection.received.toString();
  }

  /** Sends a request and closes the connection after the first event of the response. */
  public static void sendAndDisconnect(String endpoint, String path, String key, String body) {
    RawConnection connection = open(endpoint, path, key, body);
    connection.awaitText("data: ");
    connection.close();
  }

  /** Opens a connection and sends a request, without reading the response. */
  public static RawConnection open(String endpoint, String path, String key, String body) {
    RawConnection connection = connect(endpoint);
    connection.write(
        "POST "
            + path
            + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
            + key
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    return connection;
  }

  /**
   * Reads until a text has been received.
   *
   * @throws FleetException if the connection closes before
   */
  public void awaitText(String text) {
    while (received.indexOf(text) < 0) {
      if (!read()) {
        throw new FleetException("connection closed before receiving " + text + ": " + received);
      }
    }
  }

  /** Reads until the peer closes the connection and returns everything received. */
  public String readToEnd() {
    while (read()) {
      continue;
    }
    return received.toString();
  }

  /** Closes the connection without waiting for a response. */
  public void close() {
    try {
      socket.close();
    } catch (IOException exception) {
      throw new FleetException("cannot close the connection", exception);
    }
  }

  /** Opens a connection without sending anything. */
  public static RawConnection connect(String endpoint) {
    Endpoint address = Endpoint.parse(endpoint);
    try {
      Socket socket = new Socket(address.address(), address.port());
      socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
      return new RawConnection(socket);
    } catch (IOException exception) {
      throw new FleetException("cannot connect to " + endpoint, exception);
    }
  }

  /** Writes a text in ISO 8859-1 and flushes it. */
  public void write(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    } catch (IOException exception) {
      throw new FleetException("cannot write to the connection", exception);
    }
  }

  private boolean read() {
    try {
      InputStream input = socket.getInputStream();
      byte[] buffer = new byte[4_096];
      int count = input.read(buffer);
      if (count > 0) {
        received.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
      }
      return count >= 0;
    } catch (IOException exception) {
      return false;
    }
  }
}
