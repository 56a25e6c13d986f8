package org.parsleyhead.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.EngineEffect;
import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.engine.EngineReport;
import org.parsleyhead.core.engine.OrderOutcome;
import org.parsleyhead.core.ticket.AdapterItem;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * Reads the state of engines and sends them orders through vLLM's HTTP API.
 *
 * <p>Thread-safe. Each effect results in exactly one event. An order that cannot be written before
 * its write deadline is not written at all.
 */
public final class EngineClient implements AutoCloseable {

  private static final String FENCING_HEADER = "Fencing-Number";
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);
  private static final int IO_THREADS = 1;
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final String FENCED_CODE = "fenced";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final AsyncHttpClient client;
  private final Function<UpstreamName, Optional<UpstreamItem>> engines;
  private final Function<AdapterReference, Optional<String>> weightsPaths;
  private final MonotonicClock clock;
  private final Consumer<EngineEvent> events;

  /**
   * Creates a client.
   *
   * @param catalogue supplies the catalogue in force
   * @param clock the clock on which write deadlines are given
   * @param events receives the results; runs on event loops and must not block
   */
  public EngineClient(
      Supplier<Catalogue> catalogue, MonotonicClock clock, Consumer<EngineEvent> events) {
    this.engines = name -> catalogue.get().upstream(name);
    this.weightsPaths =
        adapter ->
            catalogue
                .get()
                .adapter(adapter.adapter())
                .map(AdapterItem::weightsPath)
                .map(path -> path + "/" + adapter.version());
    this.clock = Preconditions.requireNonNull(clock, "clock");
    this.events = Preconditions.requireNonNull(events, "events");
    this.client =
        Dsl.asyncHttpClient(
            Dsl.config()
                .setThreadPoolName("engine-client")
                .setIoThreadsCount(IO_THREADS)
                .setUseNativeTransport(false)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setRequestTimeout(ORDER_TIMEOUT)
                .setReadTimeout(ORDER_TIMEOUT)
                .setUserAgent("parsleyhead"));
  }

  /** Reads the metrics and the resident adapters of an engine. */
  public void read(EngineEffect.ReadEngine effect) {
    MonotonicTime started = clock.now();
    get(
        effect.engine(),
        "/metrics",
        metrics ->
            get(
                effect.engine(),
                "/v1/models",
                models -> report(effect.engine(), started, metrics, models)));
  }

  /** Orders an engine to load an adapter. */
  public void load(EngineEffect.LoadAdapter effect) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("lora_name", effect.adapter().text());
    body.put("lora_path", weightsPaths.apply(effect.adapter()).orElse(effect.adapter().text()));
    order(
        effect.engine(),
        "/v1/load_lora_adapter",
        body,
        effect.fencingNumber(),
        effect.writeBefore(),
        outcome ->
            events.accept(
                new EngineEvent.OrderCompleted(effect.engine(), effect.orderNumber(), outcome)));
  }

  /** Orders an engine to unload an adapter. */
  public void unload(EngineEffect.UnloadAdapter effect) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("lora_name", effect.adapter().text());
    order(
        effect.engine(),
        "/v1/unload_lora_adapter",
        body,
        effect.fencingNumber(),
        effect.writeBefore(),
        outcome ->
            events.accept(
                new EngineEvent.OrderCompleted(effect.engine(), effect.orderNumber(), outcome)));
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException exception) {
      throw new UpstreamException("the engine client cannot be closed", exception);
    }
  }

  private void get(UpstreamName engine, String path, Consumer<String> next) {
    Optional<UpstreamItem> item = engines.apply(engine);
    if (item.isEmpty()) {
      events.accept(new EngineEvent.ReadFailed(engine));
      return;
    }
    client
        .prepareGet("http://" + item.get().endpoint() + path)
        .setRequestTimeout(READ_TIMEOUT)
        .setReadTimeout(READ_TIMEOUT)
        .execute(
            new AsyncCompletionHandler<Void>() {
              @Override
              public Void onCompleted(Response response) {
                if (response.getStatusCode() == STATUS_OK) {
                  next.accept(response.getResponseBody());
                } else {
                  events.accept(new EngineEvent.ReadFailed(engine));
                }
                return null;
              }

              @Override
              public void onThrowable(Throwable cause) {
                events.accept(new EngineEvent.ReadFailed(engine));
              }
            });
  }

  private void report(UpstreamName engine, MonotonicTime started, String metrics, String models) {
    try {
      EngineMetrics parsed = EngineMetrics.parse(metrics);
      Set<AdapterReference> resident = new HashSet<>();
      for (JsonNode model : MAPPER.readTree(models).path("data")) {
        EngineMetrics.parseAdapter(model.path("id").asText()).ifPresent(resident::add);
      }
      events.accept(
          new EngineEvent.ReportReceived(
              new EngineReport(
                  engine, started, parsed.running(), parsed.waiting(), resident, parsed.active())));
    } catch (IOException | UpstreamException | NumberFormatException exception) {
      events.accept(new EngineEvent.ReadFailed(engine));
    }
  }

  private void order(
      UpstreamName engine,
      String path,
      ObjectNode body,
      long fencingNumber,
      MonotonicTime writeBefore,
      Consumer<OrderOutcome> outcome) {
    Optional<UpstreamItem> item = engines.apply(engine);
    if (item.isEmpty()) {
      outcome.accept(OrderOutcome.FAILED);
      return;
    }
    RequestBuilder request =
        new RequestBuilder("POST")
            .setUrl("http://" + item.get().endpoint() + path)
            .setHeader("Content-Type", "application/json")
            .setHeader(FENCING_HEADER, Long.toString(fencingNumber))
            .setBody(body.toString());
    client.executeRequest(request.build(), new OrderHandler(clock, writeBefore, outcome));
  }

  /** Reports the outcome of one order. Only one thread at a time calls a handler. */
  private static final class OrderHandler extends AsyncCompletionHandler<Void> {

    private final MonotonicClock clock;
    private final MonotonicTime writeBefore;
    private final Consumer<OrderOutcome> outcome;
    private volatile boolean written;

    OrderHandler(MonotonicClock clock, MonotonicTime writeBefore, Consumer<OrderOutcome> outcome) {
      this.clock = clock;
      this.writeBefore = writeBefore;
      this.outcome = outcome;
    }

    /** Called immediately before the write; an exception prevents the write. */
    @Override
    public void onRequestSend(NettyRequest request) {
      if (!clock.now().isBefore(writeBefore)) {
        throw new UpstreamException("the write deadline of the order has passed");
      }
      written = true;
    }

    @Override
    public Void onCompleted(Response response) {
      int status = response.getStatusCode();
      if (status == STATUS_OK) {
        outcome.accept(OrderOutcome.DONE);
      } else if (status == STATUS_CONFLICT && response.getResponseBody().contains(FENCED_CODE)) {
        outcome.accept(OrderOutcome.FENCED);
      } else {
        outcome.accept(OrderOutcome.FAILED);
      }
      return null;
    }

    @Override
    public void onThrowable(Throwable cause) {
      outcome.accept(written ? OrderOutcome.UNKNOWN : OrderOutcome.FAILED);
    }
  }
}
