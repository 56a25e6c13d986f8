package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.ResponseStage;

@DisplayName("The upstream client")
@Timeout(60)
class UpstreamClientTests {

  private static final int ENDLESS_SERVERS = 200;

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void repeat(OutputStream output, String first, String repeated)
      throws IOException {
    output.write(text(first));
    byte[] bytes = text(repeated.repeat(200));
    while (true) {
      output.write(bytes);
    }
  }

  private static String plain(String identifier, String body) {
    return "HTTP/1.1 200 OK\r\nId: "
        + identifier
        + "\r\nStamp: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String readLine(Socket socket) throws IOException {
    return new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
        .readLine();
  }

  private static String readResponse(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    int length = 0;
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
        length = Integer.parseInt(line.substring(15).strip());
      }
      line = reader.readLine();
    }
    char[] body = new char[length];
    int read = 0;
    while (read < length) {
      read += reader.read(body, read, length - read);
    }
    return new String(body);
  }

  /** Bytes that never become a complete response. */
  private enum Endless {
    BLANK_LINES("", "\r\n"),
    HEAD("HTTP/1.1 200 OK\r\n", "Field: value\r\n"),
    STATUS_LINE("HTTP/1.1 200 ", "okay"),
    INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
    OTHER_RESPONSES("", plain("other", "x")),
    BODY_OF_OTHER_RESPONSE(
        "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n"),
    CHUNKED_BODY(
        "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        "2\r\nab\r\n"),
    BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\n\r\n", "body"),
    ERROR_BODY("HTTP/1.1 500 Error\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n"),
    CHUNK_EXTENSION(
        "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2;", "a"),
    TRAILERS(
        "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "Field: value\r\n");

    private final String first;
    private final String repeated;

    Endless(String first, String repeated) {
      this.first = first;
      this.repeated = repeated;
    }

    void write(OutputStream output) throws IOException {
      repeat(output, first, repeated);
    }
  }

  @Nested
  @DisplayName("with a server that sends without end")
  class WithEndlessServer {

    @ParameterizedTest
    @EnumSource(Endless.class)
    @DisplayName("ends the attempt as possibly run and closes the connection")
    void endsAttempt(Endless endless) throws Exception {
      try (FakeRawServer server = new FakeRawServer((identifier, output) -> endless.write(output));
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/plain", "r")) {
        AttemptResult result = host.nextEnd().result();
        assertEquals(AttemptOutcome.BROKEN, result.outcome());
        while (server.endedConnections() == 0) {
          Thread.sleep(10);
        }
        assertEquals(0, host.bufferedBytes());
        assertTrue(caller.isConnected());
      }
    }

    @Test
    @DisplayName("ends a stream whose event never ends")
    void endsStream() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) ->
                      repeat(output, head + "b\r\ndata: one\n\n\r\n", "5\r\ndata:\r\n"));
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/stream", "r")) {
        AttemptResult result = host.nextEnd().result();
        assertEquals(AttemptOutcome.BROKEN, result.outcome());
        assertEquals("event_too_large", result.reason());
        assertTrue(result.responseStarted());
        assertEquals("HTTP/1.1 200 OK", readLine(caller));
      }
    }

    @Test
    @DisplayName("bounds the memory of hundreds of such servers, and still serves small responses")
    void boundsMemory() throws Exception {
      AtomicInteger endless = new AtomicInteger();
      String head = "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> {
                    if (identifier.equals("sound")) {
                      output.write(text(plain("sound", "whole")));
                    } else {
                      endless.incrementAndGet();
                      repeat(output, head, "40\r\n" + "x".repeat(64) + "\r\n");
                    }
                  });
          ForwardingHost host = new ForwardingHost(server.port())) {
        List<Socket> callers = new ArrayList<>();
        for (int index = 0; index < ENDLESS_SERVERS; index++) {
          callers.add(host.request("/plain", "r"));
        }
        long maximum = 0;
        int broken = 0;
        while (broken < ENDLESS_SERVERS) {
          assertEquals(AttemptOutcome.BROKEN, host.nextEnd().result().outcome());
          broken++;
          maximum = Math.max(maximum, host.bufferedBytes());
        }
        assertTrue(maximum <= 25 << 20, "buffered " + maximum);
        try (Socket caller = host.request("/plain", "sound")) {
          assertEquals("whole", readResponse(caller));
        }
        for (Socket caller : callers) {
          caller.close();
        }
        assertEquals(ENDLESS_SERVERS, endless.get());
      }
    }
  }

  @Nested
  @DisplayName("with a server that repeats responses")
  class WithRepeatingServer {

    @Test
    @DisplayName("never delivers a late copy to the next caller on the same connection")
    void ignoresLateCopy() throws Exception {
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> {
                    if (identifier.equals("second")) {
                      output.write(text(plain("first", "one")));
                    }
                    output.write(text(plain(identifier, identifier.equals("first") ? "one" : "2")));
                  });
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/plain", "first")) {
        assertEquals("one", readResponse(caller));
        host.request(caller, "/plain", "second");
        assertEquals("2", readResponse(caller));
        assertEquals(1, server.connections());
      }
    }

    @Test
    @DisplayName("does not take an unidentified error on a reused connection for the response")
    void distrustsUnidentifiedError() throws Exception {
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) ->
                      output.write(
                          text(
                              identifier.equals("first")
                                  ? plain("first", "one")
                                  : "HTTP/1.1 503 Full\r\n"
                                      + "Not-Run: 1\r\n"
                                      + "Content-Length: 0\r\n\r\n")));
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/plain", "first")) {
        assertEquals("one", readResponse(caller));
        assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
        host.request(caller, "/plain", "second");
        assertEquals(AttemptOutcome.BROKEN, host.nextEnd().result().outcome());
      }
    }

    @Test
    @DisplayName("ends a HEAD request at a late copy, which makes the end of its response unknown")
    void endsHeadRequest() throws Exception {
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> {
                    if (identifier.equals("second")) {
                      output.write(text(plain("first", "")));
                      output.write(
                          text(
                              "HTTP/1.1 200 OK\r\nId: second\r\nStamp: s\r\n"
                                  + "Content-Length: 3\r\n\r\n"));
                    } else {
                      output.write(text(plain("first", "")));
                    }
                  });
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/plain", "first")) {
        assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
        host.request(caller, "HEAD", "/plain", "second");
        AttemptResult result = host.nextEnd().result();
        assertEquals(AttemptOutcome.BROKEN, result.outcome());
        assertEquals("unattributable_response", result.reason());
      }
    }

    @Test
    @DisplayName(
        "uses no connection again after a HEAD request, whose late copy has no body to skip")
    void closesConnectionAfterHeadRequest() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: first\r\nStamp: s\r\nContent-Length: 3\r\n\r\n";
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) ->
                      output.write(
                          text(identifier.equals("first") ? head : head + plain("second", "2"))));
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("HEAD", "/plain", "first")) {
        assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
        host.request(caller, "/plain", "second");
        host.nextEnd();
        assertEquals(2, server.connections());
      }
    }

    @Test
    @DisplayName("does not send a request twice on the same connection")
    void opensConnectionForSecondAttempt() throws Exception {
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> output.write(text(plain(identifier, "one"))));
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/plain", "same")) {
        assertEquals("one", readResponse(caller));
        host.request(caller, "/plain", "same");
        assertEquals("one", readResponse(caller));
        assertEquals(2, server.connections());
      }
    }
  }

  @Nested
  @DisplayName("with a stream that stalls")
  class WithStalledStream {

    @Test
    @DisplayName("reports it as silent although single bytes arrive, and does not end it")
    void reportsSilence() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> {
                    output.write(text(head + "b\r\ndata: one\n\n\r\n"));
                    for (int index = 0; index < 40; index++) {
                      sleep();
                      output.write(text("1\r\nx\r\n"));
                    }
                    output.write(text("3\r\n\n\n\n\r\n0\r\n\r\n"));
                  });
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/stream", "r")) {
        assertInstanceOf(DispatchEvent.ResponseStarted.class, host.nextEvent());
        assertInstanceOf(DispatchEvent.StreamSilent.class, host.nextEvent());
        assertInstanceOf(DispatchEvent.StreamSilent.class, host.nextEvent());
        assertTrue(caller.isConnected());
      }
    }

    @Test
    @DisplayName("does not report it as silent while its own caller does not read")
    void waitsForSlowCaller() throws Exception {
      int events = 400;
      String event = "data: " + "x".repeat(50_000) + "\n\n";
      String head = "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nContent-Length: ";
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> {
                    output.write(text(head + events * event.length() + "\r\n\r\n"));
                    for (int index = 0; index < events; index++) {
                      output.write(text(event));
                    }
                  });
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request("/stream", "r")) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2_500));
        Thread reader = new Thread(() -> discard(caller), "caller");
        reader.setDaemon(true);
        reader.start();
        assertInstanceOf(DispatchEvent.ResponseStarted.class, host.nextEvent());
        assertInstanceOf(DispatchEvent.AttemptEnded.class, host.nextEvent());
      }
    }

    private void discard(Socket caller) {
      try {
        caller.getInputStream().transferTo(OutputStream.nullOutputStream());
      } catch (IOException closed) {
        // The test closed the connection.
      }
    }

    private void sleep() throws IOException {
      try {
        Thread.sleep(100);
      } catch (InterruptedException exception) {
        throw new IOException(exception);
      }
    }
  }

  @Nested
  @DisplayName("with a response that ends with its connection")
  class WithUnframedResponse {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\n\r\n";

    private AttemptResult resultOf(String path, String response) throws Exception {
      try (FakeRawServer server =
              new FakeRawServer(
                  (identifier, output) -> {
                    output.write(text(response));
                    output.close();
                  });
          ForwardingHost host = new ForwardingHost(server.port());
          Socket caller = host.request(path, "r")) {
        AttemptResult result = host.nextEnd().result();
        assertTrue(caller.isConnected());
        return result;
      }
    }

    @Test
    @DisplayName("takes a stream of whole events as complete")
    void completesStream() throws Exception {
      AttemptResult result = resultOf("/stream", HEAD + "data: one\n\n");
      assertEquals(AttemptOutcome.COMPLETED, result.outcome());
    }

    @Test
    @DisplayName("takes a stream that ends inside an event as lost")
    void losesCutStream() throws Exception {
      AttemptResult result = resultOf("/stream", HEAD + "data: one\n\ndata: tw");
      assertEquals(AttemptOutcome.BROKEN, result.outcome());
      assertEquals(Optional.of(ResponseStage.CONTENT), result.lostAt());
    }

    @Test
    @DisplayName("takes a stream without any event as lost after its head")
    void losesEmptyStream() throws Exception {
      AttemptResult result = resultOf("/stream", HEAD);
      assertEquals(AttemptOutcome.BROKEN, result.outcome());
      assertEquals(Optional.of(ResponseStage.HEAD), result.lostAt());
    }

    @Test
    @DisplayName("takes a connection that closes without a response as lost before its head")
    void losesResponse() throws Exception {
      AttemptResult result = resultOf("/stream", "");
      assertEquals(Optional.of(ResponseStage.NONE), result.lostAt());
    }
  }

  @Test
  @DisplayName("reports what a server states about requests to come, before the end of the attempt")
  void reportsNotice() throws Exception {
    String refusal =
        "HTTP/1.1 503 Full\r\nId: r\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 2\r\n"
            + "Content-Length: 0\r\n\r\n";
    try (FakeRawServer server =
            new FakeRawServer((identifier, output) -> output.write(text(refusal)));
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/plain", "r")) {
      DispatchEvent.InstanceNotice notice =
          assertInstanceOf(DispatchEvent.InstanceNotice.class, host.nextEvent());
      assertTrue(notice.leaving());
      assertEquals(Optional.of(Duration.ofSeconds(2)), notice.refusesFor());
      assertEquals(AttemptOutcome.NO_ROOM, host.nextEnd().result().outcome());
      assertTrue(caller.isConnected());
    }
  }
}
