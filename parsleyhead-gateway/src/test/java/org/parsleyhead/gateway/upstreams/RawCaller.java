package org.parsleyhead.gateway.upstreams;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A caller that keeps its connection until the host closes it.
 *
 * <p>Not thread-safe.
 */
final class RawCaller implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLISECONDS = 20_000;

  private final ForwardingHost host;
  private Optional<Socket> connection = Optional.empty();

  /**
   * A whole response.
   *
   * @param status the status
   * @param body the body
   */
  record Response(int status, String body) {}

  RawCaller(ForwardingHost host) {
    this.host = host;
  }

  /**
   * Sends a request and returns the response; empty if the host closed the connection before it was
   * whole.
   *
   * @throws java.net.SocketTimeoutException if there is neither a response nor an end
   */
  Optional<Response> call(String path, String identifier) throws IOException {
    Socket socket = connection.isPresent() ? connection.get() : host.connect();
    socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
    connection = Optional.of(socket);
    try {
      host.request(socket, path, identifier);
      return Optional.of(read(socket.getInputStream()));
    } catch (EOFException | SocketException closed) {
      close();
      return Optional.empty();
    }
  }

  @Override
  public void close() throws IOException {
    if (connection.isPresent()) {
      connection.get().close();
      connection = Optional.empty();
    }
  }

  private static Response read(InputStream input) throws IOException {
    final int status = Integer.parseInt(readLine(input).split(" ")[1]);
    int length = 0;
    boolean chunked = false;
    for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
      String lowerCase = line.toLowerCase(java.util.Locale.ROOT);
      chunked |= lowerCase.equals("transfer-encoding: chunked");
      if (lowerCase.startsWith("content-length:")) {
        length = Integer.parseInt(lowerCase.substring(15).strip());
      }
    }
    return new Response(status, chunked ? readChunks(input) : readText(input, length));
  }

  private static String readChunks(InputStream input) throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      int length = Integer.parseInt(readLine(input), 16);
      body.append(readText(input, length));
      readLine(input);
      if (length == 0) {
        return body.toString();
      }
    }
  }

  private static String readText(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException();
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }
}
