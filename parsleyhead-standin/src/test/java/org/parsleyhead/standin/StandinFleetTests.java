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

@DisplayName("Stand-ins on real sockets")
class StandinFleetTests {

  private static final int ADMINISTRATION = 0;
  private static final int CONFIGURATION = 1;
  private static final int WEIGHTS = 2;
  private static final int ENGINE = 3;
  private static final int SERVICE = 4;
  private static final int PROXY = 5;
  private static final int SILENCE_MILLISECONDS = 200;
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
  @DisplayName("publish what the administration sets and refuse writes by readers")
  void publish() throws Exception {
    fleet.call("PUT", ADMINISTRATION, "/admin/values/tickets/latest", "{\"number\": 1}");
    var answer = fleet.call("GET", CONFIGURATION, "/v1/watch/tickets/latest?revision=0", "");
    assertEquals("{\"number\": 1}", answer.body());
    assertEquals("1", answer.headers().firstValue("Revision").orElseThrow());
    assertEquals(
        404, fleet.call("PUT", CONFIGURATION, "/v1/values/tickets/latest", "").statusCode());
  }

  @Test
  @DisplayName("stream every token once under an adapter whose weights were fetched")
  void stream() throws Exception {
    String order = "{\"lora_name\":\"a@1\",\"lora_path\":\"a/1\"}";
    assertEquals(200, fleet.call("POST", ENGINE, "/v1/load_lora_adapter", order).statusCode());
    String body =
        "{\"model\":\"a@1\",\"stream\":true,\"max_tokens\":3,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    var answer =
        fleet.call("POST", ENGINE, "/v1/chat/completions", body, "X-Request-Id", "request-1");
    TokenSequence tokens = TokenSequence.of("a@1", "user: hello\n");
    for (int number = 0; number < 3; number++) {
      assertEquals(2, answer.body().split(tokens.text(number), -1).length);
    }
    assertTrue(answer.body().contains("\"completion_tokens\":3"));
    assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
    assertEquals("request-1", answer.headers().firstValue("X-Request-Id").orElseThrow());
    assertTrue(ledger().contains("\"request_id\":\"request-1\",\"model\":\"a@1\""));
    var resumed = fleet.call("POST", ENGINE, "/v1/chat/completions", body, "Resume-From", "2");
    assertEquals("2", resumed.headers().firstValue("Resume-From").orElseThrow());
    assertTrue(resumed.body().contains(tokens.text(2)));
    assertFalse(resumed.body().contains(tokens.text(1)));
  }

  @Test
  @DisplayName("run a call with a known idempotency key once")
  void runOnce() throws Exception {
    String first = fleet.call("POST", SERVICE, "/dispatch", "x", "Idempotency-Key", "k").body();
    String second = fleet.call("POST", SERVICE, "/dispatch", "x", "Idempotency-Key", "k").body();
    assertTrue(first.contains("\"number\":1,\"repeated\":false"));
    assertTrue(second.contains("\"number\":1,\"repeated\":true"));
  }

  @Test
  @DisplayName("record a call also when its answer is reset in the middle")
  void resetInMidAnswer() throws Exception {
    mode("dispatch-1", "resetting");
    assertThrows(IOException.class, () -> fleet.call("POST", SERVICE, "/dispatch", "x"));
    assertTrue(ledger().contains("POST /dispatch"));
  }

  @Test
  @DisplayName("refuse connections while they are down")
  void down() throws Exception {
    mode("weights", "down");
    assertThrows(IOException.class, () -> fleet.call("GET", WEIGHTS, "/v1/weights/a", ""));
    mode("weights", "up");
    assertEquals(200, fleet.call("GET", WEIGHTS, "/v1/weights/a", "").statusCode());
  }

  @Test
  @DisplayName("keep open connections silent through the proxy while new ones work")
  void silence() throws Exception {
    try (Socket silent = connect()) {
      request(silent);
      assertTrue(silent.getInputStream().read() > 0);
      proxy(
          "{\"scope\":\"open\",\"to_target\":{\"mode\":\"hold\"},"
              + "\"to_caller\":{\"mode\":\"hold\"}}");
      readAvailable(silent.getInputStream());
      request(silent);
      silent.setSoTimeout(SILENCE_MILLISECONDS);
      assertThrows(SocketTimeoutException.class, () -> silent.getInputStream().read());
      try (Socket fresh = connect()) {
        request(fresh);
        assertTrue(fresh.getInputStream().read() > 0);
      }
    }
  }

  @Test
  @DisplayName("reset a connection in mid-message through the proxy")
  void resetAfterBytes() throws Exception {
    proxy("{\"to_caller\":{\"reset_after_bytes\":20}}");
    assertThrows(IOException.class, () -> fleet.call("POST", PROXY, "/dispatch", "x"));
    assertTrue(ledger().contains("POST /dispatch"));
  }

  @Test
  @DisplayName("lose the answers of a call through the proxy that swallows one way")
  void oneWayLoss() throws Exception {
    proxy("{\"to_caller\":{\"mode\":\"swallow\"}}");
    try (Socket socket = connect()) {
      request(socket);
      socket.setSoTimeout(SILENCE_MILLISECONDS);
      assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
    }
    assertTrue(ledger().contains("GET /stock"));
  }

  @Test
  @DisplayName("refuse a mode and a proxy that do not exist")
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
