package org.parsleyhead.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.ServiceMode;
import org.parsleyhead.standin.Standin;
import org.parsleyhead.standin.StandinEnvironment;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.ExchangeTable;
import org.parsleyhead.standin.http.HttpListener;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;
import org.parsleyhead.standin.ledger.Ledger;

/**
 * A stand-in for a model server: the HTTP listener, the duty and the ledger around an {@link
 * EngineCore}.
 *
 * <p>Thread-safe. A request is refused without running if the ring is full. If the ring is full
 * when a connection closes, the event is offered again after a short interval.
 */
public final class EngineService implements Standin {

  private static final int RING_CAPACITY = 65_536;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(10);

  private final String name;
  private final EngineSettings settings;
  private final StandinEnvironment environment;
  private final Ledger ledger;
  private final WeightSource weights;
  private final HttpListener listener;
  private final EngineReportWriter reportWriter;
  private final AtomicLong exchangeNumbers = new AtomicLong();
  private final ExchangeTable<RunningCompletion> completions = new ExchangeTable<>(exchangeNumbers);
  private final ExchangeTable<PendingAdapterOrder> orders = new ExchangeTable<>(exchangeNumbers);
  private final Duty<EngineState, EngineEvent, EngineEffect> duty;

  /** Creates an engine and starts its duty; its listener is not yet open. */
  EngineService(
      String name,
      Endpoint endpoint,
      EngineSettings settings,
      WeightSource weights,
      Ledger ledger,
      StandinEnvironment environment) {
    this.name = name;
    this.settings = settings;
    this.environment = environment;
    this.ledger = ledger;
    this.weights = weights;
    this.reportWriter = new EngineReportWriter(settings);
    this.listener = new HttpListener(environment.eventLoops(), endpoint, this::handle);
    this.duty =
        new Duty<>(
            new Ring<>(name, RING_CAPACITY),
            EngineState.initial(settings),
            new EngineCore(settings),
            this::carryOut,
            EngineEvent.Tick::new,
            TICK_INTERVAL,
            environment.clock(),
            failure -> environment.logEventFailure(name, failure));
    duty.start();
  }

  @Override
  public String kind() {
    return "engine";
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
    offer(new EngineEvent.ModeChanged(change));
  }

  @Override
  public long requestCount() {
    return duty.state().totals().arrivals();
  }

  /** Returns the totals since the start of the process and the current number of adapters. */
  public Counters counters() {
    EngineState.Totals totals = duty.state().totals();
    return new Counters(
        totals.steps(), totals.tokens(), totals.loads(), duty.state().adapters().size());
  }

  /**
   * Counters of an engine.
   *
   * @param steps how many steps finished
   * @param tokens how many tokens were generated
   * @param loads how many adapter loads started
   * @param adapters how many adapters are resident or loading
   */
  public record Counters(long steps, long tokens, long loads, int adapters) {}

  /**
   * Restarts the engine: closes its connections, discards its adapters and refuses connections for
   * the restart time. The first steps afterwards are slow.
   */
  public void restart() {
    offer(new EngineEvent.Restart());
    listener.close();
    environment
        .timer()
        .schedule(
            settings.faults().restartTime(),
            () -> environment.maintenance().execute(listener::open));
  }

  @Override
  public void close() {
    listener.close();
    duty.close();
  }

  private void handle(HttpRequestMessage message, Exchange exchange) {
    if (message.method().equals("POST")) {
      post(message, exchange);
    } else if (message.hasMethodAndPath("GET", "/health")) {
      boolean healthy = duty.state().mode().mode() != ServiceMode.UNAVAILABLE;
      exchange.respond(HttpResponseMessage.empty(healthy ? 200 : 503));
    } else if (message.hasMethodAndPath("GET", "/metrics")) {
      exchange.respond(HttpResponseMessage.text(200, reportWriter.metrics(duty.state())));
    } else if (message.hasMethodAndPath("GET", "/v1/models")) {
      exchange.respond(HttpResponseMessage.json(200, reportWriter.models(duty.state())));
    } else {
      notFound(message, exchange);
    }
  }

  private void post(HttpRequestMessage message, Exchange exchange) {
    switch (message.path()) {
      case "/v1/chat/completions" -> submit(message, exchange, true);
      case "/v1/completions" -> submit(message, exchange, false);
      case "/v1/load_lora_adapter" -> load(message, exchange);
      case "/v1/unload_lora_adapter" -> unload(message, exchange);
      default -> notFound(message, exchange);
    }
  }

  private static void notFound(HttpRequestMessage message, Exchange exchange) {
    exchange.respond(
        HttpResponseMessage.error(404, "not_found", "no such call: " + message.path()));
  }

  private void submit(HttpRequestMessage message, Exchange exchange, boolean chat) {
    CompletionRequest request = CompletionReader.read(message, chat);
    long number = completions.add(new RunningCompletion(name, message, exchange, request));
    if (duty.ring().offer(new EngineEvent.Submit(number, request))) {
      exchange.onConnectionClosed(() -> onConnectionClosed(number));
    } else {
      completions.remove(number);
      exchange.respond(HttpResponseMessage.error(503, "busy", "the engine has too many calls"));
    }
  }

  private void onConnectionClosed(long number) {
    if (completions.find(number).isPresent()
        && !duty.ring().offer(new EngineEvent.ConnectionClosed(number))) {
      environment.timer().schedule(RETRY_INTERVAL, () -> onConnectionClosed(number));
    }
  }

  private void load(HttpRequestMessage message, Exchange exchange) {
    JsonNode body = CompletionReader.parse(message.body());
    String adapter = requireText(body, "lora_name");
    String path = requireText(body, "lora_path");
    long number = orders.add(pendingOrder("load", adapter, message, exchange));
    offer(new EngineEvent.Load(number, adapter, path, message.headerNumber("Fencing-Number")));
  }

  private void unload(HttpRequestMessage message, Exchange exchange) {
    String adapter = requireText(CompletionReader.parse(message.body()), "lora_name");
    long number = orders.add(pendingOrder("unload", adapter, message, exchange));
    offer(new EngineEvent.Unload(number, adapter, message.headerNumber("Fencing-Number")));
  }

  private PendingAdapterOrder pendingOrder(
      String kind, String adapter, HttpRequestMessage message, Exchange exchange) {
    return new PendingAdapterOrder(
        name, kind, adapter, message, exchange, System.currentTimeMillis());
  }

  private static String requireText(JsonNode body, String field) {
    if (!body.path(field).isTextual()) {
      throw new StandinException(StandinException.BAD_REQUEST, field + " is missing");
    }
    return body.get(field).textValue();
  }

  private void offer(EngineEvent event) {
    if (!duty.ring().offer(event)) {
      throw new StandinException(StandinException.BAD_REQUEST, name + " has too many calls");
    }
  }

  private void carryOut(EngineEffect effect) {
    if (effect instanceof EngineEffect.Token token) {
      completions
          .find(token.exchange())
          .ifPresent(completion -> completion.sendToken(token.number()));
    } else if (effect instanceof EngineEffect.Finished finished) {
      completions.remove(finished.exchange()).ifPresent(completion -> finish(completion, finished));
    } else if (effect instanceof EngineEffect.Cancelled cancelled) {
      completions
          .remove(cancelled.exchange())
          .ifPresent(completion -> cancel(completion, cancelled));
    } else if (effect instanceof EngineEffect.Withdrawn withdrawn) {
      completions
          .remove(withdrawn.exchange())
          .ifPresent(completion -> withdraw(completion, withdrawn));
    } else if (effect instanceof EngineEffect.ScheduleStep schedule) {
      environment
          .timer()
          .schedule(schedule.delay(), () -> duty.ring().offer(new EngineEvent.StepDue()));
    } else {
      carryOutOrderEffect(effect);
    }
  }

  private void carryOutOrderEffect(EngineEffect effect) {
    if (effect instanceof EngineEffect.Refuse refuse) {
      refuse(refuse);
    } else if (effect instanceof EngineEffect.OrderSucceeded done) {
      orders
          .remove(done.exchange())
          .ifPresent(
              order -> {
                ledger.record(order.toLedgerEntry("finished", ""));
                order.respond(HttpResponseMessage.text(200, done.message()));
              });
    } else if (effect instanceof EngineEffect.Violation violation) {
      violation
          .exchange()
          .flatMap(orders::find)
          .ifPresent(order -> ledger.record(order.toLedgerEntry("violation", violation.kind())));
    } else if (effect instanceof EngineEffect.FetchWeights fetch) {
      weights.fetch(
          fetch.path(),
          outcome -> duty.ring().offer(new EngineEvent.WeightsFetched(fetch.adapter(), outcome)));
    }
  }

  private void finish(RunningCompletion completion, EngineEffect.Finished finished) {
    ledger.record(completion.toLedgerEntry("finished", finished.tokens(), ""));
    completion.finish(finished.tokens(), finished.endsNaturally());
  }

  private void cancel(RunningCompletion completion, EngineEffect.Cancelled cancelled) {
    ledger.record(completion.toLedgerEntry("cancelled", cancelled.nextToken(), ""));
    if (cancelled.resetsConnection()) {
      completion.exchange().reset();
    }
  }

  private void withdraw(RunningCompletion completion, EngineEffect.Withdrawn withdrawn) {
    ledger.record(completion.toLedgerEntry("withdrawn", 0, ""));
    if (withdrawn.resetsConnection()) {
      completion.exchange().reset();
    }
  }

  private void refuse(EngineEffect.Refuse refuse) {
    HttpResponseMessage response =
        withRetryAfter(
            HttpResponseMessage.error(refuse.status(), refuse.type(), refuse.message()),
            refuse.retryAfter());
    completions
        .remove(refuse.exchange())
        .ifPresent(
            completion -> {
              ledger.record(completion.toLedgerEntry("refused", 0, refuse.type()));
              completion.refuse(response);
            });
    orders
        .remove(refuse.exchange())
        .ifPresent(
            order -> {
              ledger.record(order.toLedgerEntry("refused", refuse.type()));
              order.respond(response);
            });
  }

  private static HttpResponseMessage withRetryAfter(
      HttpResponseMessage response, Optional<String> retryAfter) {
    return retryAfter.map(value -> response.withHeader("Retry-After", value)).orElse(response);
  }
}
