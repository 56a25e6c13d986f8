package org.parsleyhead.gateway.upstreams;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes responses of fake servers as bytes. Stateless and thread-safe. */
final class RawResponses {

  private RawResponses() {}

  /**
   * Returns a whole, stamped response with a body of one byte.
   *
   * @param statusAndFields the status, and header fields separated by line ends
   * @param identifier the identifier of the request that it answers
   */
  static String response(String statusAndFields, String identifier) {
    return "HTTP/1.1 "
        + statusAndFields
        + "\r\nId: "
        + identifier
        + "\r\nStamp: s\r\nContent-Length: 1\r\n\r\nx";
  }

  static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
