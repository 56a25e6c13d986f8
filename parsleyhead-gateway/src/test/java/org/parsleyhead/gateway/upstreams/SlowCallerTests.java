package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A stream ends in the same read as the event that stops reading for its slow caller. */
@DisplayName("A connection to a server after a stream to a caller that does not read")
@Timeout(60)
class SlowCallerTests {

  private static final int EVENT_BYTES = 700_000;
  private static final int CHUNK_BYTES = 50_000;

  /** More than the buffers of the connection to the caller hold. */
  private static final int MAXIMUM_EVENTS = 9;

  /** Exceeded by streams that do not end before their caller reads. */
  private static final int END_TIMEOUT_MILLISECONDS = 300;

  static IntStream numbersOfEvents() {
    return IntStream.rangeClosed(1, MAXIMUM_EVENTS);
  }

  private static void answer(String identifier, OutputStream output, int events)
      throws IOException {
    String head = "HTTP/1.1 200 OK\r\nId: " + identifier + "\r\nStamp: s\r\n";
    if (!identifier.equals("stream")) {
      write(output, head + "Content-Length: 5\r\n\r\nwhole");
      return;
    }
    write(output, head + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= events; event++) {
      String data = "data: " + "x".repeat(EVENT_BYTES) + "\n\n";
      int start = 0;
      while (data.length() - start > CHUNK_BYTES) {
        write(output, chunk(data.substring(start, start + CHUNK_BYTES)));
        start += CHUNK_BYTES;
      }
      String end = event == events ? "0\r\n\r\n" : "";
      write(output, chunk(data.substring(start)) + end);
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @ParameterizedTest
  @MethodSource("numbersOfEvents")
  @DisplayName("serves the next request, whichever event of the stream fills the buffers")
  void servesNextRequest(int events) throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    try (FakeRawServer server =
            new FakeRawServer((identifier, output) -> answer(identifier, output, events));
        ForwardingHost host =
            new ForwardingHost(server.port(), (exchange, result) -> ended.countDown());
        Socket slow = host.request("/stream", "stream");
        RawCaller next = new RawCaller(host)) {
      boolean streamEnded = ended.await(END_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
      assertEquals(Optional.of(new RawCaller.Response(200, "whole")), next.call("/plain", "next"));
      assertTrue(slow.isConnected());
      if (streamEnded) {
        assertEquals(1, server.connections());
      }
    }
  }
}
