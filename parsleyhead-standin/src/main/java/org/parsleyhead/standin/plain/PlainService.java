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
 * A stand-in for a plain service: answers any method and path with a JSON document that tells what
 * it received, and its running number.
 *
 * <p>Thread-safe. A call stands in the ledger before its answer is sent. {@code GET /metrics} and
 * {@code GET /health} report load and health and run nothing.
 */
public final class PlainService implements Standin {

  private static final int RING_CAPACITY = 16_384;
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  private final String name;
  private final StandinEnvironment environment;
  private final Ledger ledger;
  private final HttpListener listener;
  private final ExchangeTable<PendingCall> exchanges = new ExchangeTable<>();
  private final Duty<PlainServiceCore.State, PlainServiceCore.Event, PlainServiceCore.Effect> duty;

  /** Starts a service whose listener is not yet open. */
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

  private record PendingCall(HttpRequestMessage call, Exchange exchange) {}

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
  public long calls() {
    return duty.state().calls();
  }

  @Override
  public void close() {
    listener.close();
    duty.close();
  }

  private void handle(HttpRequestMessage call, Exchange exchange) {
    if (call.hasMethodAndPath("GET", "/health")) {
      exchange.respond(HttpResponseMessage.empty(200));
    } else if (call.hasMethodAndPath("GET", "/metrics")) {
      exchange.respond(HttpResponseMessage.text(200, metrics()));
    } else {
      long number = exchanges.add(new PendingCall(call, exchange));
      offer(new PlainServiceCore.CallReceived(number, call.header("Idempotency-Key")));
    }
  }

  private String metrics() {
    PlainServiceCore.State state = duty.state();
    return "service_requests_running "
        + state.running()
        + "\n"
        + "service_requests_total "
        + state.calls()
        + "\n";
  }

  private void offer(PlainServiceCore.Event event) {
    if (!duty.ring().offer(event)) {
      throw new StandinException(StandinException.BAD_REQUEST, name + " has too many calls");
    }
  }

  private void carryOut(PlainServiceCore.Effect effect) {
    if (effect instanceof PlainServiceCore.Run run) {
      exchanges.remove(run.exchange()).ifPresent(pending -> run(pending, run));
    } else if (effect instanceof PlainServiceCore.Refuse refuse) {
      exchanges
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

  private void run(PendingCall pending, PlainServiceCore.Run run) {
    ledger.record(toLedgerEntry(pending.call(), run));
    if (run.delay().isZero()) {
      respond(pending, run);
    } else {
      environment.timer().schedule(run.delay(), () -> respond(pending, run));
    }
  }

  private void respond(PendingCall pending, PlainServiceCore.Run run) {
    duty.ring().offer(new PlainServiceCore.ResponseSent());
    ObjectNode document = describe(pending.call(), run);
    switch (run.responseKind()) {
      case COMPLETE -> pending.exchange().respond(withRequestId(pending.call(), document));
      case ERROR ->
          pending
              .exchange()
              .respond(
                  HttpResponseMessage.error(500, "failed", name + " failed after it ran the call"));
      case RESET -> resetInMidAnswer(pending.exchange(), document.toString());
      default -> {
        // A silent service leaves the call without an answer.
      }
    }
  }

  private void resetInMidAnswer(Exchange exchange, String text) {
    exchange.beginStream(200, List.of(new HeaderField("Content-Type", "application/json")));
    exchange.sendChunk(text.substring(0, text.length() / 2));
    environment.timer().schedule(Duration.ofMillis(1), exchange::reset);
  }

  private static HttpResponseMessage withRequestId(HttpRequestMessage call, ObjectNode document) {
    HttpResponseMessage answer = HttpResponseMessage.json(200, document);
    return call.header("X-Request-Id")
        .map(id -> answer.withHeader("X-Request-Id", id))
        .orElse(answer);
  }

  private ObjectNode describe(HttpRequestMessage call, PlainServiceCore.Run run) {
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    document.put("service", name);
    document.put("number", run.number());
    document.put("repeated", run.repeated());
    document.put("method", call.method());
    document.put("path", call.path());
    document.put("body_digest", ContentDigest.of(call.body()));
    document.put("request_id", call.header("X-Request-Id").orElse(null));
    document.put("idempotency_key", call.header("Idempotency-Key").orElse(null));
    return document;
  }

  private LedgerEntry toLedgerEntry(HttpRequestMessage call, PlainServiceCore.Run run) {
    long now = System.currentTimeMillis();
    return new LedgerEntry(
        name,
        "call",
        call.header("X-Request-Id"),
        "",
        call.method() + " " + call.path(),
        call.header("Idempotency-Key"),
        ContentDigest.of(call.body()),
        call.headers(),
        now,
        now + run.delay().toMillis(),
        run.repeated() ? "repeated" : "finished",
        0,
        0,
        0,
        "number " + run.number());
  }
}
