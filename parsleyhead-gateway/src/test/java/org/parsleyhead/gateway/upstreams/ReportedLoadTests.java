package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.dispatch.ReportedLoad;

@DisplayName("The load that a response reports")
@Timeout(60)
class ReportedLoadTests {

  private static Optional<Integer> running(Optional<ReportedLoad> load) {
    return load.map(ReportedLoad::running);
  }

  private static FakeRawServer serverOf(String response) throws IOException {
    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
    return new FakeRawServer((identifier, output) -> output.write(bytes));
  }

  private static DispatchEvent.AttemptEnded endOf(String response) throws Exception {
    try (FakeRawServer server = serverOf(response);
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/plain", "r")) {
      DispatchEvent.AttemptEnded ended = host.nextEnd();
      assertTrue(caller.isConnected());
      return ended;
    }
  }

  @Test
  @DisplayName("of a plain response and of a refusal is passed on with the end of the attempt")
  void passesOnWithEnd() throws Exception {
    assertEquals(
        Optional.of(3),
        running(
            endOf("HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nLoad: 3\r\nContent-Length: 1\r\n\r\nx")
                .load()));
    assertEquals(
        Optional.of(8),
        running(
            endOf(
                    "HTTP/1.1 503 Full\r\nId: r\r\nStamp: s\r\nNot-Run: 1\r\nLoad: 8\r\n"
                        + "Content-Length: 0\r\n\r\n")
                .load()));
  }

  @Test
  @DisplayName(
      "of a misdirected response is dropped, which guards against the load of another server")
  void dropsMisdirected() throws Exception {
    assertEquals(
        Optional.empty(),
        running(
            endOf(
                    "HTTP/1.1 421 Misdirected\r\nId: r\r\nStamp: s\r\nLoad: 8\r\n"
                        + "Content-Length: 0\r\n\r\n")
                .load()));
  }

  @Test
  @DisplayName(
      "of a stream is passed on with its first event only, which guards against an old load that"
          + " counts as new at the end of a long stream")
  void passesOnOnce() throws Exception {
    try (FakeRawServer server =
            serverOf(
                "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nLoad: 5\r\n"
                    + "Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: x\n\n");
        ForwardingHost host = new ForwardingHost(server.port());
        Socket caller = host.request("/stream", "r")) {
      DispatchEvent.ResponseStarted started = (DispatchEvent.ResponseStarted) host.nextEvent();
      assertEquals(Optional.of(5), running(started.load()));
      assertEquals(Optional.empty(), host.nextEnd().load());
      assertTrue(caller.isConnected());
    }
  }
}
