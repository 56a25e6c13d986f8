import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on blocking streams. Stateless. */
final class Http {

  private static final int MAXIMUM_HEAD_BYTES = 64 << 10;

  private Http() {}

  /**
   * A message.
   *
   * @param start the request line or the status line
   * @param headers names and values in turn
   * @param body the body without its framing
   */
  record Message(String start, List<String> headers, byte[] body) {

    String header(String name) {
      for (int index = 0; index < headers.size(); index += 2) {
        if (headers.get(index).equalsIgnoreCase(name)) {
          return headers.get(index + 1);
        }
      }
      return null;
    }

    String method() {
      return start.substring(0, start.indexOf(' '));
    }

    String target() {
      return start.split(" ")[1];
    }

    String path() {
      String target = target();
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String query(String name, String fallback) {
      String target = target();
      int query = target.indexOf('?');
      if (query >= 0) {
        for (String pair : target.substring(query + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return fallback;
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }
  }

  /** Reads the head of a message; null at the end of the stream. */
  static Message readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    List<String> headers = new ArrayList<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("the head is incomplete");
      }
      if (line.isEmpty()) {
        return new Message(start, headers, new byte[0]);
      }
      int colon = line.indexOf(':');
      headers.add(line.substring(0, colon).trim());
      headers.add(line.substring(colon + 1).trim());
    }
  }

  /** Reads a message with its body; null at the end of the stream. */
  static Message read(InputStream in, boolean response) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    String coding = head.header("Transfer-Encoding");
    String length = head.header("Content-Length");
    if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
      return new Message(head.start(), head.headers(), readChunks(in));
    }
    if (length != null) {
      return new Message(
          head.start(), head.headers(), readExactly(in, Integer.parseInt(length)));
    }
    return response
        ? new Message(head.start(), head.headers(), in.readAllBytes())
        : head;
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      byte[] chunk = readChunk(in);
      if (chunk.length == 0) {
        return body.toByteArray();
      }
      body.writeBytes(chunk);
    }
  }

  /** Reads one chunk; an empty one is the last. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("the chunks are incomplete");
    }
    byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
    readLine(in);
    return chunk;
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the body is incomplete");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the line is incomplete");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
      if (line.size() > MAXIMUM_HEAD_BYTES) {
        throw new IOException("the line is too long");
      }
    }
  }

  /** Encodes a head. */
  static byte[] head(String start, String... headers) {
    StringBuilder text = new StringBuilder(start).append("\r\n");
    for (int index = 0; index < headers.length; index += 2) {
      text.append(headers[index]).append(": ").append(headers[index + 1]).append("\r\n");
    }
    return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
