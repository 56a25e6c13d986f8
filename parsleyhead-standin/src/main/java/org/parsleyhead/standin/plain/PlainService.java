package org.parsleyhead.standin.plain;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.Standin;
import org.parsleyhead.standin.StandinEnvironment;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.ExchangeTable;
import org.parsleyhead.standin.http.HeaderField;
import org.parsleyhead.standin.http.HttpListener;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;
import org.parsleyhead.standin.ledger.ContentDigest;
import org.parsleyhead.standin.ledger.Ledger;
import org.parsleyhead.standin.ledger.LedgerEntry;

/**
 * A stand-in for a plain service: responds to any method and path with a JSON document that
 * describes the request and contains its sequence number.
 *
 * <p>Thread-safe. A request is recorded in the ledger before its response is sent. {@code GET
 * /metrics} and {@code GET /health} report load and health and run nothing.
 */
public final class PlainService implements Standin {

  private static final int RING_CAPACITY = 16_384;
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  private final String name;
  private final StandinEnvironment environment;
  private final Ledger ledger;
  private final HttpListener listener;
  private final ExchangeTable<PendingServiceRequest> pendingRequests = new ExchangeTable<>();
  private final Duty<PlainServiceCore.State, PlainServiceCore.Event, PlainServiceCore.Effect> duty;

  /** Creates a service and starts its duty; its listener is not yet open. */
  public PlainService(
      String name,
      Endpoint endpoint,
      PlainServiceSettings settings,
      Ledger ledger,
      StandinEnvironment environment) {
    this.name = name;
    this.environment = environment;
    this.ledger = ledger;
    this.listener = new HttpListener(environment.eventLoops(), endpoint, this::handle);
    this.duty =
        new Duty<>(
            new Ring<>(name, RING_CAPACITY),
            PlainServiceCore.State.INITIAL,
            new PlainServiceCore(settings),
            this::carryOut,
            PlainServiceCore.Tick::new,
            TICK_INTERVAL,
            environment.clock(),
            failure -> environment.logEventFailure(name, failure));
    duty.start();
  }

  private record PendingServiceRequest(HttpRequestMessage request, Exchange exchange) {}

  @Override
  public String kind() {
    return "service";
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public HttpListener listener() {
    return listener;
  }

  @Override
  public void changeMode(ModeChange change) {
    offer(new PlainServiceCore.ModeChanged(change));
  }

  @Override
  public long requestCount() {
    return duty.state().requestCount();
  }

  @Override
  public void close() {
    listener.close();
    duty.close();
  }

  private void handle(HttpRequestMessage request, Exchange exchange) {
    if (request.hasMethodAndPath("GET", "/health")) {
      exchange.respond(HttpResponseMessage.empty(200));
    } else if (request.hasMethodAndPath("GET", "/metrics")) {
      exchange.respond(HttpResponseMessage.text(200, metrics()));
    } else {
      long number = pendingRequests.add(new PendingServiceRequest(request, exchange));
      offer(new PlainServiceCore.RequestReceived(number, request.header("Idempotency-Key")));
    }
  }

  private String metrics() {
    PlainServiceCore.State state = duty.state();
    return "service_requests_running "
        + state.running()
        + "\n"
        + "service_requests_total "
        + state.requestCount()
        + "\n";
  }

  private void offer(PlainServiceCore.Event event) {
    if (!duty.ring().offer(event)) {
      throw new StandinException(StandinException.BAD_REQUEST, name + " has too many calls");
    }
  }

  private void carryOut(PlainServiceCore.Effect effect) {
    if (effect instanceof PlainServiceCore.Run run) {
      pendingRequests.remove(run.exchange()).ifPresent(pending -> run(pending, run));
    } else if (effect instanceof PlainServiceCore.Refuse refuse) {
      pendingRequests
          .remove(refuse.exchange())
          .ifPresent(
              pending ->
                  pending
                      .exchange()
                      .respond(
                          HttpResponseMessage.error(
                              503, "unavailable", name + " is not available")));
    }
  }

  private void run(PendingServiceRequest pending, PlainServiceCore.Run run) {
    ledger.record(toLedgerEntry(pending.request(), run));
    if (run.delay().isZero()) {
      respond(pending, run);
    } else {
      environment.timer().schedule(run.delay(), () -> respond(pending, run));
    }
  }

  private void respond(PendingServiceRequest pending, PlainServiceCore.Run run) {
    duty.ring().offer(new PlainServiceCore.ResponseDue());
    ObjectNode document = describe(pending.request(), run);
    switch (run.responseKind()) {
      case COMPLETE -> pending.exchange().respond(withRequestId(pending.request(), document));
      case ERROR ->
          pending
              .exchange()
              .respond(
                  HttpResponseMessage.error(500, "failed", name + " failed after it ran the call"));
      case RESET -> resetDuringResponse(pending.exchange(), document.toString());
      default -> {
        // A silent service never responds.
      }
    }
  }

  private void resetDuringResponse(Exchange exchange, String body) {
    exchange.beginStream(200, List.of(new HeaderField("Content-Type", "application/json")));
    exchange.sendChunk(body.substring(0, body.length() / 2));
    environment.timer().schedule(Duration.ofMillis(1), exchange::reset);
  }

  private static HttpResponseMessage withRequestId(
      HttpRequestMessage request, ObjectNode document) {
    HttpResponseMessage response = HttpResponseMessage.json(200, document);
    return request
        .header("X-Request-Id")
        .map(id -> response.withHeader("X-Request-Id", id))
        .orElse(response);
  }

  private ObjectNode describe(HttpRequestMessage request, PlainServiceCore.Run run) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.put("service", name);
    document.put("number", run.number());
    document.put("repeated", run.repeated());
    document.put("method", request.method());
    document.put("path", request.path());
    document.put("body_digest", ContentDigest.of(request.body()));
    document.put("request_id", request.header("X-Request-Id").orElse(null));
    document.put("idempotency_key", request.header("Idempotency-Key").orElse(null));
    return document;
  }

  private LedgerEntry toLedgerEntry(HttpRequestMessage request, PlainServiceCore.Run run) {
    long now = System.currentTimeMillis();
    return new LedgerEntry(
        name,
        "call",
        request.header("X-Request-Id"),
        "",
        request.method() + " " + request.path(),
        request.header("Idempotency-Key"),
        ContentDigest.of(request.body()),
        request.headers(),
        now,
        now + run.delay().toMillis(),
        run.repeated() ? "repeated" : "finished",
        0,
        0,
        0,
        "number " + run.number());
  }
}
