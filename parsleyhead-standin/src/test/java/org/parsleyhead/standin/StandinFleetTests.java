package org.parsleyhead.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.standin.engine.TokenSequence;

@DisplayName("A fleet of stand-ins on real sockets")
class StandinFleetTests {

  private static final int ADMINISTRATION = 0;
  private static final int CONFIGURATION = 1;
  private static final int WEIGHTS = 2;
  private static final int ENGINE = 3;
  private static final int SERVICE = 4;
  private static final int PROXY = 5;
  private static final int SILENCE_TIMEOUT_MILLISECONDS = 200;
  private static final String SETTINGS =
      """
      [administration]
      endpoint = "127.0.0.1:PORT0"
      [configuration]
      endpoint = "127.0.0.1:PORT1"
      [weights]
      endpoint = "127.0.0.1:PORT2"
      transfer_time = "1 ms"
      [engines]
      step_base_milliseconds = 1
      [engine.engine-1]
      endpoint = "127.0.0.1:PORT3"
      [service.dispatch-1]
      endpoint = "127.0.0.1:PORT4"
      idempotency_keys = true
      [proxy.to-dispatch]
      endpoint = "127.0.0.1:PORT5"
      target = "127.0.0.1:PORT4"
      """;

  private final RunningFleet fleet = new RunningFleet(SETTINGS, 6);

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  @DisplayName("publishes values that the administration sets and refuses writes by readers")
  void publish() throws Exception {
    fleet.call("PUT", ADMINISTRATION, "/admin/values/tickets/latest", "{\"number\": 1}");
    var response = fleet.call("GET", CONFIGURATION, "/v1/watch/tickets/latest?revision=0", "");
    assertEquals("{\"number\": 1}", response.body());
    assertEquals("1", response.headers().firstValue("Revision").orElseThrow());
    assertEquals(
        404, fleet.call("PUT", CONFIGURATION, "/v1/values/tickets/latest", "").statusCode());
  }

  @Test
  @DisplayName("streams every token exactly once for an adapter whose weights were fetched")
  void stream() throws Exception {
    String order = "{\"lora_name\":\"a@1\",\"lora_path\":\"a/1\"}";
    assertEquals(200, fleet.call("POST", ENGINE, "/v1/load_lora_adapter", order).statusCode());
    String body =
        "{\"model\":\"a@1\",\"stream\":true,\"max_tokens\":3,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    var response =
        fleet.call("POST", ENGINE, "/v1/chat/completions", body, "X-Request-Id", "request-1");
    TokenSequence tokens = TokenSequence.of("a@1", "user: hello\n");
    for (int number = 0; number < 3; number++) {
      assertEquals(2, response.body().split(tokens.text(number), -1).length);
    }
    assertTrue(response.body().contains("\"completion_tokens\":3"));
    assertTrue(response.body().endsWith("data: [DONE]\n\n"));
    assertEquals("request-1", response.headers().firstValue("X-Request-Id").orElseThrow());
    assertTrue(ledger().contains("\"request_id\":\"request-1\",\"model\":\"a@1\""));
    var resumed = fleet.call("POST", ENGINE, "/v1/chat/completions", body, "Resume-From", "2");
    assertEquals("2", resumed.headers().firstValue("Resume-From").orElseThrow());
    assertTrue(resumed.body().contains(tokens.text(2)));
    assertFalse(resumed.body().contains(tokens.text(1)));
  }

  @Test
  @DisplayName("runs requests with the same idempotency key once")
  void runOnce() throws Exception {
    String first = fleet.call("POST", SERVICE, "/dispatch", "x", "Idempotency-Key", "k").body();
    String second = fleet.call("POST", SERVICE, "/dispatch", "x", "Idempotency-Key", "k").body();
    assertTrue(first.contains("\"number\":1,\"repeated\":false"));
    assertTrue(second.contains("\"number\":1,\"repeated\":true"));
  }

  @Test
  @DisplayName("records a request whose response is reset before it is complete")
  void resetInMidAnswer() throws Exception {
    mode("dispatch-1", "resetting");
    assertThrows(IOException.class, () -> fleet.call("POST", SERVICE, "/dispatch", "x"));
    assertTrue(ledger().contains("POST /dispatch"));
  }

  @Test
  @DisplayName("refuses connections to a stand-in in the mode down")
  void down() throws Exception {
    mode("weights", "down");
    assertThrows(IOException.class, () -> fleet.call("GET", WEIGHTS, "/v1/weights/a", ""));
    mode("weights", "up");
    assertEquals(200, fleet.call("GET", WEIGHTS, "/v1/weights/a", "").statusCode());
  }

  @Test
  @DisplayName("holds the bytes of open proxy connections while new connections work")
  void silence() throws Exception {
    try (Socket heldConnection = connect()) {
      request(heldConnection);
      assertTrue(heldConnection.getInputStream().read() > 0);
      proxy(
          "{\"scope\":\"open\",\"to_target\":{\"mode\":\"hold\"},"
              + "\"to_caller\":{\"mode\":\"hold\"}}");
      readAvailable(heldConnection.getInputStream());
      request(heldConnection);
      heldConnection.setSoTimeout(SILENCE_TIMEOUT_MILLISECONDS);
      assertThrows(SocketTimeoutException.class, () -> heldConnection.getInputStream().read());
      try (Socket newConnection = connect()) {
        request(newConnection);
        assertTrue(newConnection.getInputStream().read() > 0);
      }
    }
  }

  @Test
  @DisplayName("resets a proxy connection in the middle of a response")
  void resetAfterBytes() throws Exception {
    proxy("{\"to_caller\":{\"reset_after_bytes\":20}}");
    assertThrows(IOException.class, () -> fleet.call("POST", PROXY, "/dispatch", "x"));
    assertTrue(ledger().contains("POST /dispatch"));
  }

  @Test
  @DisplayName("drops responses while the proxy swallows bytes in one direction")
  void oneWayLoss() throws Exception {
    proxy("{\"to_caller\":{\"mode\":\"swallow\"}}");
    try (Socket socket = connect()) {
      request(socket);
      socket.setSoTimeout(SILENCE_TIMEOUT_MILLISECONDS);
      assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }
    assertTrue(ledger().contains("GET /stock"));
  }

  @Test
  @DisplayName("refuses to set an unknown mode or an unknown proxy")
  void refuseUnknown() throws Exception {
    assertEquals(400, fleet.call("PUT", ADMINISTRATION, "/admin/modes/weights", "{}").statusCode());
    assertEquals(400, fleet.call("PUT", ADMINISTRATION, "/admin/proxies/no", "{}").statusCode());
    assertFalse(ledger().contains("dispatch"));
  }

  private String ledger() throws Exception {
    return fleet.call("GET", ADMINISTRATION, "/admin/ledger", "").body();
  }

  private void mode(String name, String mode) throws Exception {
    String body = "{\"mode\":\"" + mode + "\"}";
    assertEquals(204, fleet.call("PUT", ADMINISTRATION, "/admin/modes/" + name, body).statusCode());
  }

  private void proxy(String fault) throws Exception {
    assertEquals(
        204, fleet.call("PUT", ADMINISTRATION, "/admin/proxies/to-dispatch", fault).statusCode());
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), fleet.port(PROXY));
  }

  private static void request(Socket socket) throws IOException {
    OutputStream output = socket.getOutputStream();
    output.write("GET /stock HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    output.flush();
  }

  private static void readAvailable(InputStream input) throws IOException {
    while (input.available() > 0) {
      input.skipNBytes(input.available());
    }
  }
}
