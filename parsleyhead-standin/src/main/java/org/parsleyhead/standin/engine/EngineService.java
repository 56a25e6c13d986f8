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
import org.parsleyhead.standin.http.HttpAnswer;
import org.parsleyhead.standin.http.HttpCall;
import org.parsleyhead.standin.http.HttpListener;
import org.parsleyhead.standin.ledger.Ledger;

/**
 * A stand-in for a model server: a listener and a ledger round an engine core.
 *
 * <p>Thread-safe. A call that finds the ring full is refused and runs nothing; a closing that finds
 * it full is tried again later.
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
  private final EngineReportWriter reports;
  private final AtomicLong exchangeNumbers = new AtomicLong();
  private final ExchangeTable<RunningCompletion> completions = new ExchangeTable<>(exchangeNumbers);
  private final ExchangeTable<AdapterOrder> orders = new ExchangeTable<>(exchangeNumbers);
  private final Duty<EngineState, EngineEvent, EngineEffect> duty;

  /** Starts an engine whose listener is not yet open. */
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
    this.reports = new EngineReportWriter(settings);
    this.listener = new HttpListener(environment.group(), endpoint, this::handle);
    this.duty =
        new Duty<>(
            new Ring<>(name, RING_CAPACITY),
            EngineState.initial(settings),
            new EngineCore(settings),
            this::carryOut,
            EngineEvent.Tick::new,
            TICK_INTERVAL,
            environment.clock(),
            failure -> environment.failed(name, failure));
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
    offer(new EngineEvent.Mode(change));
  }

  @Override
  public long calls() {
    return duty.state().totals().arrivals();
  }

  /** Returns what has happened since the start of the process. */
  public Counts counts() {
    EngineState.Totals totals = duty.state().totals();
    return new Counts(
        totals.steps(), totals.tokens(), totals.loads(), duty.state().adapters().size());
  }

  /**
   * What has happened on an engine.
   *
   * @param steps how many steps ended
   * @param tokens how many tokens were generated
   * @param loads how many loads began
   * @param adapters how many adapters are resident or loading
   */
  public record Counts(long steps, long tokens, long loads, int adapters) {}

  /** Restarts the engine: connections are reset, adapters are gone, first steps are slow. */
  public void restart() {
    offer(new EngineEvent.Restart());
    listener.close();
    environment
        .timer()
        .after(
            settings.faults().restartTime(),
            () -> environment.maintenance().execute(listener::open));
  }

  @Override
  public void close() {
    listener.close();
    duty.close();
  }

  private void handle(HttpCall call, Exchange exchange) {
    if (call.method().equals("POST")) {
      post(call, exchange);
    } else if (call.is("GET", "/health")) {
      boolean healthy = duty.state().mode().mode() != ServiceMode.UNAVAILABLE;
      exchange.answer(HttpAnswer.empty(healthy ? 200 : 503));
    } else if (call.is("GET", "/metrics")) {
      exchange.answer(HttpAnswer.text(200, reports.metrics(duty.state())));
    } else if (call.is("GET", "/v1/models")) {
      exchange.answer(HttpAnswer.json(200, reports.models(duty.state())));
    } else {
      notFound(call, exchange);
    }
  }

  private void post(HttpCall call, Exchange exchange) {
    switch (call.path()) {
      case "/v1/chat/completions" -> submit(call, exchange, true);
      case "/v1/completions" -> submit(call, exchange, false);
      case "/v1/load_lora_adapter" -> load(call, exchange);
      case "/v1/unload_lora_adapter" -> unload(call, exchange);
      default -> notFound(call, exchange);
    }
  }

  private static void notFound(HttpCall call, Exchange exchange) {
    exchange.answer(HttpAnswer.error(404, "not_found", "no such call: " + call.path()));
  }

  private void submit(HttpCall call, Exchange exchange, boolean chat) {
    CompletionRequest request = CompletionReader.read(call, chat);
    long number = completions.add(new RunningCompletion(name, call, exchange, request));
    if (duty.ring().offer(new EngineEvent.Submit(number, request))) {
      exchange.whenClosed(() -> closed(number));
    } else {
      completions.remove(number);
      exchange.answer(HttpAnswer.error(503, "busy", "the engine has too many calls"));
    }
  }

  private void closed(long number) {
    if (completions.find(number).isPresent()
        && !duty.ring().offer(new EngineEvent.Closed(number))) {
      environment.timer().after(RETRY_INTERVAL, () -> closed(number));
    }
  }

  private void load(HttpCall call, Exchange exchange) {
    JsonNode body = CompletionReader.parse(call.body());
    String adapter = requireText(body, "lora_name");
    String path = requireText(body, "lora_path");
    long number = orders.add(order("load", adapter, call, exchange));
    offer(new EngineEvent.Load(number, adapter, path, call.headerNumber("Fencing-Number")));
  }

  private void unload(HttpCall call, Exchange exchange) {
    String adapter = requireText(CompletionReader.parse(call.body()), "lora_name");
    long number = orders.add(order("unload", adapter, call, exchange));
    offer(new EngineEvent.Unload(number, adapter, call.headerNumber("Fencing-Number")));
  }

  private AdapterOrder order(String kind, String adapter, HttpCall call, Exchange exchange) {
    return new AdapterOrder(name, kind, adapter, call, exchange, System.currentTimeMillis());
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
      completions.find(token.exchange()).ifPresent(completion -> completion.token(token.number()));
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
    } else if (effect instanceof EngineEffect.Schedule schedule) {
      environment
          .timer()
          .after(schedule.delay(), () -> duty.ring().offer(new EngineEvent.StepDue()));
    } else {
      carryOutOrder(effect);
    }
  }

  private void carryOutOrder(EngineEffect effect) {
    if (effect instanceof EngineEffect.Refuse refuse) {
      refuse(refuse);
    } else if (effect instanceof EngineEffect.OrderDone done) {
      orders
          .remove(done.exchange())
          .ifPresent(
              order -> {
                ledger.record(order.entry("finished", ""));
                order.answer(HttpAnswer.text(200, done.message()));
              });
    } else if (effect instanceof EngineEffect.Violation violation) {
      violation
          .exchange()
          .flatMap(orders::find)
          .ifPresent(order -> ledger.record(order.entry("violation", violation.kind())));
    } else if (effect instanceof EngineEffect.Fetch fetch) {
      weights.fetch(
          fetch.path(),
          outcome -> duty.ring().offer(new EngineEvent.Weights(fetch.adapter(), outcome)));
    }
  }

  private void finish(RunningCompletion completion, EngineEffect.Finished finished) {
    ledger.record(completion.entry("finished", finished.tokens(), ""));
    completion.finish(finished.tokens(), finished.natural());
  }

  private void cancel(RunningCompletion completion, EngineEffect.Cancelled cancelled) {
    ledger.record(completion.entry("cancelled", cancelled.nextToken(), ""));
    if (cancelled.resets()) {
      completion.exchange().reset();
    }
  }

  private void withdraw(RunningCompletion completion, EngineEffect.Withdrawn withdrawn) {
    ledger.record(completion.entry("withdrawn", 0, ""));
    if (withdrawn.resets()) {
      completion.exchange().reset();
    }
  }

  private void refuse(EngineEffect.Refuse refuse) {
    HttpAnswer answer =
        withRetryAfter(
            HttpAnswer.error(refuse.status(), refuse.type(), refuse.message()),
            refuse.retryAfter());
    completions
        .remove(refuse.exchange())
        .ifPresent(
            completion -> {
              ledger.record(completion.entry("refused", 0, refuse.type()));
              completion.refuse(answer);
            });
    orders
        .remove(refuse.exchange())
        .ifPresent(
            order -> {
              ledger.record(order.entry("refused", refuse.type()));
              order.answer(answer);
            });
  }

  private static HttpAnswer withRetryAfter(HttpAnswer answer, Optional<String> retryAfter) {
    return retryAfter.map(value -> answer.with("Retry-After", value)).orElse(answer);
  }
}
