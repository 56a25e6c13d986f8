import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a client: sends one request on a connection of its own. Stateless. */
final class Caller {

  private static final int TIMEOUT_MILLISECONDS = 20_000;

  private Caller() {}

  static Socket connect(String endpoint) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLISECONDS);
    socket.connect(
        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), Ports.portOf(endpoint)), 1_000);
    return socket;
  }

  /** Returns the head of a request without the headers of its body. */
  static String head(String method, String path, String identifier, int deadline, String headers) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + Documents.HOST_NAME
        + "\r\nX-Parsleyhead-Request-Id: "
        + identifier
        + "\r\nX-Parsleyhead-Deadline-Ms: "
        + deadline
        + "\r\nAuthorization: Bearer "
        + Documents.KEY
        + "\r\n"
        + headers;
  }

  /** Returns the headers of a request for an adapter. */
  static String modelHeaders(String adapter) {
    return "X-Parsleyhead-Model: "
        + Documents.MODEL
        + "/"
        + adapter
        + "\r\nX-Parsleyhead-Token-Count: 100,16\r\nX-Parsleyhead-Prefix-Hash: "
        + Integer.toHexString(adapter.hashCode())
        + ":100\r\n";
  }

  /** Sends a request and returns the response; throws if there is no complete one. */
  static HttpMessage call(
      String endpoint, String method, String path, String identifier, int deadline, String headers, byte[] body)
      throws IOException {
    try (Socket socket = connect(endpoint)) {
      send(socket, method, path, identifier, deadline, headers, body);
      return HttpMessage.readResponse(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static void send(
      Socket socket, String method, String path, String identifier, int deadline, String headers, byte[] body)
      throws IOException {
    String head = head(method, path, identifier, deadline, headers);
    String length = method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
    socket.getOutputStream().write((head + length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
  }
}
