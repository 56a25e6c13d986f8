import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * One HTTP/1.1 message as read from a socket: its first line, its headers and its body.
 *
 * <p>The names of headers are in lower case.
 */
record HttpMessage(String firstLine, Map<String, String> headers, byte[] body) {

  /** Reads a request; returns null if the connection ends before its first byte. */
  static HttpMessage readRequest(InputStream input) throws IOException {
    HttpMessage head = readHead(input);
    if (head == null) {
      return null;
    }
    byte[] body =
        head.chunked() || head.headers().containsKey("content-length")
            ? head.readFramedBody(input)
            : new byte[0];
    return new HttpMessage(head.firstLine(), head.headers(), body);
  }

  /** Reads a response; throws EOFException if the connection ends before it is complete. */
  static HttpMessage readResponse(InputStream input) throws IOException {
    HttpMessage head = readHead(input);
    if (head == null) {
      throw new EOFException("no response");
    }
    boolean framed = head.chunked() || head.headers().containsKey("content-length");
    byte[] body = framed ? head.readFramedBody(input) : input.readAllBytes();
    return new HttpMessage(head.firstLine(), head.headers(), body);
  }

  /** Reads the first line and the headers; returns null if the connection ends before them. */
  static HttpMessage readHead(InputStream input) throws IOException {
    String first = readLine(input);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    String line = readLine(input);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      line = readLine(input);
    }
    if (line == null) {
      throw new EOFException("head cut off");
    }
    return new HttpMessage(first, headers, new byte[0]);
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  String method() {
    return firstLine.split(" ")[0];
  }

  String target() {
    return firstLine.split(" ")[1];
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  private boolean chunked() {
    return header("transfer-encoding").equalsIgnoreCase("chunked");
  }

  private byte[] readFramedBody(InputStream input) throws IOException {
    if (!chunked()) {
      return readExactly(input, Integer.parseInt(header("content-length")));
    }
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    while (true) {
      String size = readLine(input);
      if (size == null) {
        throw new EOFException("body cut off");
      }
      int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      whole.write(readExactly(input, length));
      readLine(input);
      if (length == 0) {
        return whole.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("body cut off");
    }
    return bytes;
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = input.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
