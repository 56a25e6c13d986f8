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
import org.parsleyhead.integration.fleet.FleetHttpClient;
import org.parsleyhead.integration.fleet.Fleets;
import org.parsleyhead.integration.fleet.LocalFleet;
import org.parsleyhead.integration.fleet.Ports;
import org.parsleyhead.integration.fleet.SampleTickets;
import org.parsleyhead.integration.fleet.StandinLayout;

@Tag("long-running")
@DisplayName("Four entry hosts, each with its own fault proxy before the configuration service,")
class KeysAndTicketsTests {

  private static final int HOSTS = 4;
  private static final int LONG_ANSWER_TOKENS = 4_000;
  private static final Duration DEGRADED_TIME = Duration.ofSeconds(12);
  private static final String CONFIGURATION = "configuration";
  private static final String LATEST_TICKET_PATH = "tickets/latest";

  @TempDir private static Path directory;
  private static LocalFleet fleet;
  private static final AtomicLong LAST_TICKET_NUMBER = new AtomicLong(1);

  private final FleetHttpClient client = new FleetHttpClient();

  @BeforeAll
  static void start() {
    StandinLayout plain = StandinLayout.onFreePorts(2, List.of("service-1"));
    Map<String, StandinLayout.ProxyLayout> proxies = new LinkedHashMap<>();
    List<String> ports = Ports.allocate(HOSTS);
    for (int index = 0; index < HOSTS; index++) {
      proxies.put(
          StandinLayout.configurationProxyName("entry-" + (index + 1)),
          new StandinLayout.ProxyLayout(ports.get(index), plain.configurationEndpoint()));
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
  @DisplayName(
      "enforce a key revocation that one host receives, in streams and on idle connections")
  void enforceRevokedKey(String fault) {
    String key = "sample-key-to-withdraw-" + LAST_TICKET_NUMBER.get();
    fleet
        .standins()
        .publish(
            SampleTickets.issueKey(
                LAST_TICKET_NUMBER.incrementAndGet(), key, SampleTickets.CORDIALS));
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET_NUMBER.get()));
    List<RawConnection> idleConnections =
        fleet.hosts().stream().map(host -> openIdleConnection(host, key)).toList();
    List<RawConnection> streams =
        fleet.hosts().stream().map(host -> openStream(host, key)).toList();
    setFaultExceptOnFirstHost(fault);
    try {
      fleet.standins().publish(SampleTickets.revokeKey(LAST_TICKET_NUMBER.incrementAndGet(), key));
      fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET_NUMBER.get()));
      streams.forEach(
          stream ->
              assertTrue(
                  stream.readToEnd().contains("key_unknown"),
                  "stream not ended by the key revocation"));
      idleConnections.forEach(connection -> assertRefused(connection, key));
      fleet.hosts().forEach(host -> assertEquals(401, getStock(host, key).statusCode()));
    } finally {
      setFaultExceptOnFirstHost("{}");
    }
  }

  @Test
  @DisplayName("never revert to an older ticket, and restore the newest one on a restarted host")
  void neverApplyOlderTicket() {
    String key = "sample-key-of-a-newer-ticket";
    long older = LAST_TICKET_NUMBER.get();
    fleet
        .standins()
        .publish(
            SampleTickets.issueKey(
                LAST_TICKET_NUMBER.incrementAndGet(), key, SampleTickets.CORDIALS));
    fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET_NUMBER.get()));
    EntryHost restarted = fleet.hosts().get(HOSTS - 1);
    fleet.standins().publish(LATEST_TICKET_PATH, "{\"number\":" + older + "}");
    try {
      fleet.process(restarted).kill();
      fleet.startEntry(restarted);
      fleet.awaitReady(restarted);
      fleet.awaitTicket(restarted, LAST_TICKET_NUMBER.get());
      sleep(DEGRADED_TIME);
      fleet.hosts().forEach(host -> fleet.awaitTicket(host, LAST_TICKET_NUMBER.get()));
      fleet.hosts().forEach(host -> assertEquals(200, getStock(host, key).statusCode()));
    } finally {
      fleet.standins().publish(LATEST_TICKET_PATH, "{\"number\":" + LAST_TICKET_NUMBER.get() + "}");
    }
  }

  @Test
  @DisplayName("keep serving, and make a restarted host ready, while the service is down")
  void serveWithoutService() {
    EntryHost restartedHost = fleet.hosts().get(HOSTS - 1);
    fleet.standins().setMode(CONFIGURATION, "down");
    try {
      fleet.process(restartedHost).kill();
      fleet.startEntry(restartedHost);
      fleet.awaitReady(restartedHost);
      fleet.awaitTicket(restartedHost, LAST_TICKET_NUMBER.get());
      sleep(DEGRADED_TIME);
      fleet
          .hosts()
          .forEach(
              host -> assertEquals(200, getStock(host, SampleTickets.CORDIALS_KEY).statusCode()));
    } finally {
      fleet.standins().setMode(CONFIGURATION, "up");
    }
  }

  private static void setFaultExceptOnFirstHost(String fault) {
    fleet.hosts().stream()
        .skip(1)
        .forEach(
            host ->
                fleet
                    .standins()
                    .setFault(StandinLayout.configurationProxyName(host.name()), fault));
  }

  private HttpResponse<String> getStock(EntryHost host, String key) {
    return client.call("GET", host.callerEndpoint(), "/stock/1", key, "");
  }

  private static RawConnection openStream(EntryHost host, String key) {
    ChatExchange chat = new ChatExchange("adapter-1@1", "a long one", LONG_ANSWER_TOKENS);
    RawConnection stream =
        RawConnection.open(host.callerEndpoint(), ChatExchange.PATH, key, chat.requestBody());
    stream.awaitText("\"0:");
    return stream;
  }

  /** Returns an idle connection on which one request was answered. */
  private static RawConnection openIdleConnection(EntryHost host, String key) {
    RawConnection connection = RawConnection.connect(host.callerEndpoint());
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
    String responses = connection.readToEnd();
    assertTrue(responses.contains("key_unknown"), responses);
  }

  private static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
