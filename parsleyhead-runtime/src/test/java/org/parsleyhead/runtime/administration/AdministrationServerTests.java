package org.parsleyhead.runtime.administration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.TicketNumber;
import org.parsleyhead.core.ticket.ItemKey;
import org.parsleyhead.core.ticket.ItemKind;
import org.parsleyhead.runtime.audit.AuditChange;
import org.parsleyhead.runtime.audit.AuditEvent;
import org.parsleyhead.runtime.audit.AuditExcerpt;
import org.parsleyhead.runtime.audit.AuditTrail;
import org.parsleyhead.runtime.log.EventLog;

@DisplayName("The administration server")
class AdministrationServerTests {

  private static final TicketStatus STATUS =
      new TicketStatus(
          new HostName("entry-1"),
          new TicketNumber(7),
          new TicketNumber(8),
          3,
          "c0ffee",
          "entry-2");

  private static final AuditTrail TRAIL =
      AuditTrail.empty(10)
          .append(
              new AuditEvent(
                  new TicketNumber(7),
                  "entry-2",
                  Instant.EPOCH,
                  Stream.of("k1", "k2")
                      .map(name -> new ItemKey(ItemKind.KEY, name))
                      .map(key -> new AuditChange(key, AuditChange.Action.DELETED))
                      .toList()));

  private final AtomicReference<Readiness> readiness = new AtomicReference<>(Readiness.READY);
  private final List<RuntimeException> failures = Collections.synchronizedList(new ArrayList<>());
  private final AdministrationServer server =
      AdministrationServer.start(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          new AdministrationRouter(pages(), failures::add));

  @AfterEach
  void close() {
    server.close();
  }

  @Test
  @DisplayName("serves metrics and reports that the process is live")
  void servesMetrics() throws Exception {
    assertEquals("sample_total 1\n", get("/metrics").body());
    assertEquals(200, get("/live").statusCode());
  }

  @Test
  @DisplayName("reports readiness with status 200, or 503 and the reason")
  void servesReadiness() throws Exception {
    assertEquals(200, get("/ready").statusCode());
    readiness.set(Readiness.notReady("no_ticket_yet"));
    HttpResponse<String> response = get("/ready");
    assertEquals(503, response.statusCode());
    assertEquals("no_ticket_yet\n", response.body());
  }

  @Test
  @DisplayName(
      "serves the applied tickets in JSON that can be decoded, and decoding rejects other text")
  void servesTickets() throws Exception {
    assertEquals(STATUS, TicketStatusJson.decode(get("/tickets").body()));
    assertThrows(AdministrationException.class, () -> TicketStatusJson.decode("{}"));
    assertThrows(AdministrationException.class, () -> TicketStatusJson.decode("<html>"));
  }

  @Test
  @DisplayName("serves the audit entries that follow a sequence number")
  void servesAudit() throws Exception {
    assertEquals(
        "{\"first_sequence\":1,\"last_sequence\":2,\"entries\":[{\"sequence\":2,\"ticket\":7,"
            + "\"kind\":\"key\",\"name\":\"k2\",\"action\":\"deleted\",\"heard_from\":\"entry-2\","
            + "\"in_force_since\":\"1970-01-01T00:00:00Z\"}]}",
        get("/audit?x=y&since=1").body());
    AuditExcerpt excerpt = AuditJson.decode(get("/audit?since=-1").body());
    assertEquals(AuditExcerpt.of(TRAIL, 0), excerpt);
    for (String malformed :
        List.of(
            "{}",
            "<html>",
            "{\"first_sequence\":1,\"last_sequence\":1,"
                + "\"entries\":[{\"sequence\":1,\"ticket\":1,\"kind\":\"pet\"}]}")) {
      assertThrows(AdministrationException.class, () -> AuditJson.decode(malformed));
    }
  }

  @Test
  @DisplayName(
      "rejects unknown pages and methods other than GET, and keeps serving after a page fails")
  void rejects() throws Exception {
    assertEquals(404, get("/unknown").statusCode());
    assertEquals(405, send(request("/live").DELETE()).statusCode());
    assertEquals(500, get("/broken").statusCode());
    assertEquals("broken", failures.get(0).getMessage());
    assertEquals(200, get("/live").statusCode());
  }

  @Test
  @DisplayName("names the setting in the error when its endpoint is already in use")
  void endpointInUse() {
    Endpoint endpoint = new Endpoint("127.0.0.1", server.port());
    AdministrationException exception =
        assertThrows(
            AdministrationException.class,
            () -> AdministrationServer.start(endpoint, List.of(), new EventLog("test")));
    assertEquals(AdministrationException.CANNOT_LISTEN, exception.code());
    assertTrue(exception.getMessage().startsWith("administration.endpoint"));
  }

  private List<AdministrationPage> pages() {
    List<AdministrationPage> pages =
        new ArrayList<>(StandardPages.ofProcess(() -> "sample_total 1\n", readiness::get));
    pages.add(StandardPages.tickets(() -> STATUS));
    pages.add(StandardPages.audit(() -> TRAIL));
    pages.add(
        new AdministrationPage(
            "/broken",
            request -> {
              throw new IllegalStateException("broken");
            }));
    return pages;
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return send(request(path));
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path));
  }

  private static HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
