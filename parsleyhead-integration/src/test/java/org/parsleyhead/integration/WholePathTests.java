package org.parsleyhead.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.HttpCalls;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

@DisplayName("Two entry hosts before stand-ins, as separate processes")
class WholePathTests {

  private static final String CHAT = "/v1/chat/completions";
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  @TempDir private static Path directory;
  private static LocalFleet fleet;
  private static EntryHost first;
  private static EntryHost second;

  private final HttpCalls http1 = new HttpCalls();
  private final HttpCalls http2 = new HttpCalls(HttpClient.Version.HTTP_2);

  @BeforeAll
  static void start() {
    StandinLayout layout = StandinLayout.onFreePorts(2, List.of("service-1"));
    fleet = Fleets.start(directory, layout, 2, Map.of("repeats.window", "\"11 s\""));
    first = fleet.hosts().get(0);
    second = fleet.hosts().get(1);
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static String chat(String model, int tokens, boolean streamed, String content) {
    return "{\"model\":\""
        + model
        + "\",\"stream\":"
        + streamed
        + ",\"max_tokens\":"
        + tokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + content
        + "\"}]}";
  }

  private HttpResponse<String> ask(EntryHost host, String body) {
    return http1.call("POST", host.callers(), CHAT, SampleTickets.CORDIALS_KEY, body);
  }

  private static String contentOf(String answer) {
    int start = answer.indexOf("\"content\":\"") + 11;
    return answer.substring(start, answer.indexOf('"', start));
  }

  private static long ledgerCount(String... parts) {
    return fleet.platform().ledger().stream()
        .filter(line -> List.of(parts).stream().allMatch(line::contains))
        .count();
  }

  @Nested
  @DisplayName("answer")
  class Answers {

    @Test
    @DisplayName("the same to HTTP/1.1 and HTTP/2 callers, on whichever host")
    void sameOnBothProtocols() {
      String body = chat("adapter-1@2", 8, false, "one question");
      HttpResponse<String> one = ask(first, body);
      HttpResponse<String> other =
          http2.call("POST", second.callers(), CHAT, SampleTickets.CORDIALS_KEY, body);
      assertEquals(200, one.statusCode(), one.body());
      assertEquals(200, other.statusCode(), other.body());
      assertEquals(contentOf(one.body()), contentOf(other.body()));
    }

    @Test
    @DisplayName("a stream whole, ending with its last event")
    void streams() {
      HttpResponse<String> answer = ask(first, chat("adapter-2@1", 5, true, "stream it"));
      assertEquals(200, answer.statusCode(), answer.body());
      assertTrue(answer.body().strip().endsWith("data: [DONE]"));
      for (int token = 0; token < 5; token++) {
        assertEquals(2, answer.body().split("\"" + token + ":", -1).length, answer.body());
      }
      assertFalse(answer.body().contains("\"usage\""), "usage was not asked for");
    }

    @Test
    @DisplayName("with the adapter and version that were asked for")
    void runsRightAdapter() {
      ask(second, chat("adapter-3@2", 3, false, "which adapter"));
      assertTrue(ledgerCount("\"model\":\"adapter-3@2\"", "completion") > 0);
    }

    @Test
    @DisplayName("the list of models that a client account may use")
    void listsModels() {
      HttpResponse<String> answer =
          http1.call("GET", first.callers(), "/v1/models", SampleTickets.CORDIALS_KEY, "");
      assertTrue(answer.body().contains("\"id\":\"adapter-1@1\""), answer.body());
    }

    @Test
    @DisplayName("on an open route without a key")
    void opensRoute() {
      assertEquals(200, http1.call("GET", first.callers(), "/status", Map.of(), "").statusCode());
    }
  }

  @Nested
  @DisplayName("refuse, and run nothing,")
  class Refusals {

    @ParameterizedTest
    @CsvSource({
      "'{\"model\":',400,invalid_request",
      "'[]',400,invalid_request",
      "'{\"model\":7,\"messages\":[]}',400,invalid_request",
      "'{\"model\":\"adapter-1@9\",\"messages\":[{}]}',404,model_unknown",
      "'{\"model\":\"adapter-1\",\"messages\":[{}]}',404,model_unknown",
      "'{\"model\":\"adapter-1@1\",\"messages\":[{}],\"max_tokens\":-1}',400,invalid_request",
      "'{\"model\":\"adapter-1@1\",\"messages\":[{}],\"max_tokens\":99999999}',429,exceeds_burst"
    })
    @DisplayName("a body that is malformed or asks for what cannot be")
    void badBody(String body, int status, String code) {
      HttpResponse<String> answer = ask(first, body);
      assertEquals(status, answer.statusCode(), answer.body());
      assertTrue(answer.body().contains("\"code\":\"" + code + "\""), answer.body());
      assertTrue(answer.body().contains("\"outcome\":\"not_run\""), answer.body());
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stock/%2e%2e/admin", "/stock/a%2Fb", "/stock//x", "/stock/..%00"})
    @DisplayName("an ambiguous path")
    void badPath(String path) {
      HttpResponse<String> answer =
          http1.call("GET", first.callers(), path, SampleTickets.CORDIALS_KEY, "");
      assertEquals(400, answer.statusCode(), answer.body());
    }

    @Test
    @DisplayName("a call without a key, and one with an unknown key")
    void badKey() {
      assertEquals(401, http1.call("GET", first.callers(), "/stock", Map.of(), "").statusCode());
      assertEquals(
          401, http1.call("GET", first.callers(), "/stock", "not-a-key-at-all", "").statusCode());
    }

    @Test
    @DisplayName("a body that holds the caller's key")
    void keyInBody() {
      HttpResponse<String> answer =
          ask(first, chat("adapter-1@1", 3, false, SampleTickets.CORDIALS_KEY));
      assertEquals(400, answer.statusCode(), answer.body());
      assertTrue(answer.body().contains("key_in_request"));
    }

    @Test
    @DisplayName("conflicting lengths, over-long headers and over-long bodies")
    void badFraming() {
      String conflicting =
          "POST /stock HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
      assertTrue(RawConnection.send(first.callers(), conflicting).contains(" 400 "));
      String longHeader =
          "GET /stock HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(70_000) + "\r\n\r\n";
      assertTrue(RawConnection.send(first.callers(), longHeader).contains(" 431 "));
      String longBody = "POST /stock HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
      assertTrue(RawConnection.send(first.callers(), longBody).contains(" 413 "));
    }
  }

  @Test
  @DisplayName("never show a caller's key to an upstream")
  void hideKeys() {
    http1.call(
        "GET",
        first.callers(),
        "/stock/1?api_key=" + SampleTickets.CORDIALS_KEY + "&page=2",
        Map.of(
            "Authorization", "Bearer " + SampleTickets.CORDIALS_KEY,
            "Cookie", "session=" + SampleTickets.CORDIALS_KEY,
            "X-Copy", "it is " + SampleTickets.CORDIALS_KEY),
        "");
    ask(second, chat("adapter-1@1", 3, false, "hello"));
    assertTrue(ledgerCount("GET /stock/1") > 0);
    assertEquals(0, ledgerCount(SampleTickets.CORDIALS_KEY));
  }

  @Test
  @DisplayName("run a call that is not idempotent once, also if it is sent again elsewhere")
  void runOnce() {
    Map<String, String> headers =
        Map.of(
            "Authorization",
            "Bearer " + SampleTickets.SITEPOWER_KEY,
            "Idempotency-Key",
            "booking-17");
    HttpCalls.await(
        "hosts can tell repetitions",
        PATIENCE,
        () ->
            http1
                    .call("POST", first.callers(), "/dispatch", headers, "{\"booking\":17}")
                    .statusCode()
                != 503);
    HttpResponse<String> again =
        http1.call("POST", second.callers(), "/dispatch", headers, "{\"booking\":17}");
    assertEquals(409, again.statusCode(), again.body());
    assertTrue(again.body().contains("\"outcome\":\"unknown\""));
    assertEquals(1, ledgerCount("booking-17"));
  }

  @Test
  @DisplayName("cancel the work of a caller that goes away in the middle of a stream")
  void cancelWithCaller() {
    String body = chat("adapter-4@1", 4_000, true, "a long story");
    RawConnection.sendAndLeave(first.callers(), CHAT, SampleTickets.CORDIALS_KEY, body);
    HttpCalls.await(
        "cancelled at the engine",
        PATIENCE,
        () -> ledgerCount("\"model\":\"adapter-4@1\"", "\"outcome\":\"cancelled\"") == 1);
  }

  @Test
  @DisplayName("end a stream when its key is withdrawn, and refuse the next request")
  void revokeKey() {
    String key = "sample-key-to-withdraw";
    fleet.platform().publish(SampleTickets.issueKey(2, key, SampleTickets.CORDIALS));
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, 2));
    RawConnection stream =
        RawConnection.open(first.callers(), CHAT, key, chat("adapter-5@1", 4_000, true, "long"));
    stream.awaitText("\"0:");
    fleet.platform().publish(SampleTickets.revokeKey(3, key));
    assertTrue(stream.readToEnd().contains("key_unknown"));
    HttpResponse<String> next =
        http1.call("POST", second.callers(), CHAT, key, chat("adapter-5@1", 3, false, "next"));
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, 3));
    assertEquals(
        401,
        http1.call("GET", second.callers(), "/stock", key, "").statusCode(),
        "after " + next.statusCode());
  }
}
