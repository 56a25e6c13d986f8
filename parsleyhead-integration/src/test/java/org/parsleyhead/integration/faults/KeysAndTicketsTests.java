package org.parsleyhead.integration.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleyhead.integration.RawConnection;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.HttpCalls;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.Ports;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

@Tag("long-running")
@DisplayName("Four entry hosts, with a proxy between each and the configuration service,")
class KeysAndTicketsTests {

  private static final int HOSTS = 4;
  private static final int LONG_ANSWER_TOKENS = 4_000;
  private static final Duration STALE_TIME = Duration.ofSeconds(12);
  private static final String CONFIGURATION = "configuration";
  private static final String LATEST = "tickets/latest";

  @TempDir private static Path directory;
  private static LocalFleet fleet;
  private static final AtomicLong LAST_TICKET = new AtomicLong(1);

  private final HttpCalls calls = new HttpCalls();

  @BeforeAll
  static void start() {
    StandinLayout plain = StandinLayout.onFreePorts(2, List.of("service-1"));
    Map<String, StandinLayout.ProxyLayout> proxies = new LinkedHashMap<>();
    List<String> ports = Ports.free(HOSTS);
    for (int index = 0; index < HOSTS; index++) {
      proxies.put(
          StandinLayout.configurationProxy("entry-" + (index + 1)),
          new StandinLayout.ProxyLayout(ports.get(index), plain.configuration()));
    }
    fleet = Fleets.start(directory, plain.withProxies(proxies), HOSTS, Map.of());
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"scope\":\"all\",\"cut\":true}",
        "{\"scope\":\"all\",\"to_target\":{\"mode\":\"hold\"},\"to_caller\":{\"mode\":\"hold\"}}",
        "{\"scope\":\"open\",\"to_caller\":{\"mode\":\"swallow\"}}"
      })
  @DisplayName("stop a withdrawn key in streams and on idle connections if only one hears of it")
  void stopRevokedKey(String fault) {
    String key = "sample-key-to-withdraw-" + LAST_TICKET.get();
    fleet
        .platform()
        .publish(
            SampleTickets.issueKey(LAST_TICKET.incrementAndGet(), key, SampleTickets.CORDIALS));
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET.get()));
    List<RawConnection> idle = fleet.hosts().stream().map(host -> idle(host, key)).toList();
    List<RawConnection> streams = fleet.hosts().stream().map(host -> stream(host, key)).toList();
    faultsBehindFirst(fault);
    try {
      fleet.platform().publish(SampleTickets.revokeKey(LAST_TICKET.incrementAndGet(), key));
      fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET.get()));
      streams.forEach(
          stream -> assertTrue(stream.readToEnd().contains("key_unknown"), "a stream went on"));
      idle.forEach(connection -> assertRefused(connection, key));
      fleet.hosts().forEach(host -> assertEquals(401, stock(host, key).statusCode()));
    } finally {
      faultsBehindFirst("{}");
    }
  }

  @Test
  @DisplayName("never go back when the service does, and tell a restarted host")
  void neverRevert() {
    String key = "sample-key-of-a-newer-ticket";
    long older = LAST_TICKET.get();
    fleet
        .platform()
        .publish(
            SampleTickets.issueKey(LAST_TICKET.incrementAndGet(), key, SampleTickets.CORDIALS));
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET.get()));
    EntryHost restarted = fleet.hosts().get(HOSTS - 1);
    fleet.platform().publish(LATEST, "{\"number\":" + older + "}");
    try {
      fleet.process(restarted).kill();
      fleet.startEntry(restarted);
      fleet.awaitReady(restarted);
      fleet.awaitTicket(restarted, LAST_TICKET.get());
      pause(STALE_TIME);
      fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET.get()));
      fleet.hosts().forEach(host -> assertEquals(200, stock(host, key).statusCode()));
    } finally {
      fleet.platform().publish(LATEST, "{\"number\":" + LAST_TICKET.get() + "}");
    }
  }

  @Test
  @DisplayName("go on, and bring a fresh host to readiness, while the service is down for all")
  void serveWithoutService() {
    EntryHost fresh = fleet.hosts().get(HOSTS - 1);
    fleet.platform().mode(CONFIGURATION, "down");
    try {
      fleet.process(fresh).kill();
      fleet.startEntry(fresh);
      fleet.awaitReady(fresh);
      fleet.awaitTicket(fresh, LAST_TICKET.get());
      pause(STALE_TIME);
      fleet
          .hosts()
          .forEach(host -> assertEquals(200, stock(host, SampleTickets.CORDIALS_KEY).statusCode()));
    } finally {
      fleet.platform().mode(CONFIGURATION, "up");
    }
  }

  private static void faultsBehindFirst(String fault) {
    fleet.hosts().stream()
        .skip(1)
        .forEach(
            host -> fleet.platform().fault(StandinLayout.configurationProxy(host.name()), fault));
  }

  private HttpResponse<String> stock(EntryHost host, String key) {
    return calls.call("GET", host.callers(), "/stock/1", key, "");
  }

  private static RawConnection stream(EntryHost host, String key) {
    Chat chat = new Chat("adapter-1@1", "a long one", LONG_ANSWER_TOKENS);
    RawConnection stream = RawConnection.open(host.callers(), Chat.PATH, key, chat.body());
    stream.awaitText("\"0:");
    return stream;
  }

  /** Opens a connection that has served one request. */
  private static RawConnection idle(EntryHost host, String key) {
    RawConnection connection = RawConnection.connect(host.callers());
    connection.write(
        "GET /stock/2 HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + key + "\r\n\r\n");
    connection.awaitText("body_digest");
    return connection;
  }

  private static void assertRefused(RawConnection connection, String key) {
    connection.write(
        "GET /stock/3 HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nAuthorization: Bearer "
            + key
            + "\r\n\r\n");
    String answers = connection.readToEnd();
    assertTrue(answers.contains("key_unknown"), answers);
  }

  private static void pause(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
