package org.parsleyhead.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A message of HTTP/1.1.
 *
 * <p>Immutable and thread-safe.
 *
 * @param startLine the request line or the status line
 * @param headers the headers, by name in lower case
 * @param body the body without its framing
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {

  /** Reads a message; returns null if the connection ends before it. */
  static HttpMessage read(InputStream input) throws IOException {
    String startLine = line(input);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip());
    }
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return new HttpMessage(startLine, headers, chunks(input));
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = input.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body is cut off");
    }
    return new HttpMessage(startLine, headers, body);
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String target() {
    return startLine.split(" ")[1];
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the value of a query parameter as a number, or a default. */
  long queryNumber(String name, long defaultValue) {
    int query = target().indexOf('?');
    for (String pair : query < 0 ? new String[0] : target().substring(query + 1).split("&")) {
      if (pair.startsWith(name + "=")) {
        return Long.parseLong(pair.substring(name.length() + 1));
      }
    }
    return defaultValue;
  }

  private static byte[] chunks(InputStream input) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(input);
      if (size == null) {
        throw new EOFException("body is cut off");
      }
      int length = Integer.parseInt(size.strip(), 16);
      byte[] chunk = input.readNBytes(length);
      if (chunk.length < length) {
        throw new EOFException("body is cut off");
      }
      body.writeBytes(chunk);
      line(input);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String line(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    if (next < 0) {
      return null;
    }
    for (; next >= 0 && next != '\n'; next = input.read()) {
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
