package org.parsleyhead.gateway.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.parsleyhead.gateway.upstreams.RawResponses.response;
import static org.parsleyhead.gateway.upstreams.RawResponses.write;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleyhead.core.dispatch.AttemptOutcome;
import org.parsleyhead.core.dispatch.AttemptResult;

/** A server sends the beginning of a second response after a whole one. */
@DisplayName("The beginning of a second response")
@Timeout(60)
class IncompleteLateResponseTests {

  private static final long DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(60);

  /** Where the second response ends. */
  private enum Beginning {
    IN_STATUS_CODE("HTTP/1.1 2"),
    BEFORE_REASON("HTTP/1.1 200 "),
    IN_REASON("HTTP/1.1 200 OK"),
    AFTER_STATUS_LINE("HTTP/1.1 200 OK\r\n"),
    IN_FIELD("HTTP/1.1 200 OK\r\nServer: abc"),
    AFTER_IDENTIFIER("HTTP/1.1 200 OK\r\nId: first\r\nStamp: s\r\nContent-Length: 1");

    private final String text;

    Beginning(String text) {
      this.text = text;
    }
  }

  /** Sends a request that is answered, then one that the server fails, and returns its result. */
  private static AttemptResult resultOfSecondRequest(FakeRawServer.Script script) throws Exception {
    try (FakeRawServer server = new FakeRawServer(script);
        ForwardingHost host = new ForwardingHost(server.port());
        Socket first = host.request("/plain", "first")) {
      assertEquals(AttemptOutcome.COMPLETED, host.nextEnd().result().outcome());
      LockSupport.parkNanos(3 * DELAY_NANOSECONDS);
      try (Socket second = host.request("/plain", "second")) {
        assertTrue(first.isConnected() && second.isConnected());
        return host.nextEnd().result();
      }
    }
  }

  @ParameterizedTest
  @EnumSource(Beginning.class)
  @DisplayName("in the same bytes as the first one does not become a part of the next response")
  void endsConnectionAtOnce(Beginning beginning) throws Exception {
    AttemptResult result =
        resultOfSecondRequest(
            (identifier, output) ->
                write(
                    output,
                    identifier.equals("first")
                        ? response("200 OK", "first") + beginning.text
                        : response("500 Error", identifier)));
    assertEquals(AttemptOutcome.FAILED, result.outcome());
  }

  @ParameterizedTest
  @EnumSource(Beginning.class)
  @DisplayName("on an idle connection does not become a part of the next response")
  void endsIdleConnection(Beginning beginning) throws Exception {
    AttemptResult result =
        resultOfSecondRequest(
            (identifier, output) -> {
              if (identifier.equals("first")) {
                write(output, response("200 OK", "first"));
                LockSupport.parkNanos(DELAY_NANOSECONDS);
                write(output, beginning.text);
              } else {
                write(output, response("500 Error", identifier));
              }
            });
    assertEquals(AttemptOutcome.FAILED, result.outcome());
  }

  @ParameterizedTest
  @EnumSource(Beginning.class)
  @DisplayName("that comes before the next response makes that response uncertain")
  void endsAttempt(Beginning beginning) throws Exception {
    AttemptResult result =
        resultOfSecondRequest(
            (identifier, output) -> {
              if (identifier.equals("first")) {
                write(output, response("200 OK", "first"));
              } else {
                write(output, beginning.text);
                LockSupport.parkNanos(DELAY_NANOSECONDS);
                write(output, response("500 Error", identifier));
              }
            });
    assertEquals(AttemptOutcome.BROKEN, result.outcome());
  }
}
