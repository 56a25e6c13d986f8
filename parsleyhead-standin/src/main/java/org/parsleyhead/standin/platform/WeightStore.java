package org.parsleyhead.standin.platform;

import java.time.Duration;
import org.parsleyhead.core.api.Endpoint;
import org.parsleyhead.runtime.duty.Duty;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.standin.ModeChange;
import org.parsleyhead.standin.Standin;
import org.parsleyhead.standin.StandinEnvironment;
import org.parsleyhead.standin.StandinException;
import org.parsleyhead.standin.http.Exchange;
import org.parsleyhead.standin.http.ExchangeTable;
import org.parsleyhead.standin.http.HttpListener;
import org.parsleyhead.standin.http.HttpRequestMessage;
import org.parsleyhead.standin.http.HttpResponseMessage;

/**
 * A stand-in for the weight store: {@code GET /v1/weights/PATH} responds when the transfer is
 * complete.
 *
 * <p>Thread-safe. A transfer that exceeds the rate limit is refused with status 429 and {@code
 * Retry-After}.
 */
public final class WeightStore implements Standin {

  private static final String NAME = "weights";
  private static final int RING_CAPACITY = 4_096;
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  private final StandinEnvironment environment;
  private final HttpListener listener;
  private final ExchangeTable<Exchange> exchanges = new ExchangeTable<>();
  private final Duty<WeightStoreCore.State, WeightStoreCore.Event, WeightStoreCore.Effect> duty;

  /** Creates a weight store and starts its duty; its listener is not yet open. */
  public WeightStore(
      Endpoint endpoint, WeightStoreSettings settings, StandinEnvironment environment) {
    this.environment = environment;
    this.listener = new HttpListener(environment.eventLoops(), endpoint, this::handle);
    WeightStoreCore core = new WeightStoreCore(settings);
    this.duty =
        new Duty<>(
            new Ring<>(NAME, RING_CAPACITY),
            core.initial(environment.clock().now()),
            core,
            this::carryOut,
            WeightStoreCore.Tick::new,
            TICK_INTERVAL,
            environment.clock(),
            failure -> environment.logEventFailure(NAME, failure));
    duty.start();
  }

  @Override
  public String kind() {
    return NAME;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public HttpListener listener() {
    return listener;
  }

  @Override
  public void changeMode(ModeChange change) {
    offer(new WeightStoreCore.ModeChanged(change));
  }

  @Override
  public long requestCount() {
    return duty.state().requestCount();
  }

  /** Returns how many transfers were refused because of the rate limit. */
  public long refusedTransfers() {
    return duty.state().refused();
  }

  @Override
  public void close() {
    listener.close();
    duty.close();
  }

  private void handle(HttpRequestMessage request, Exchange exchange) {
    if (!request.method().equals("GET") || request.pathAfterPrefix("/v1/weights/").isEmpty()) {
      exchange.respond(
          HttpResponseMessage.error(404, "not_found", "no such call: " + request.path()));
      return;
    }
    offer(new WeightStoreCore.FetchRequested(exchanges.add(exchange)));
  }

  private void offer(WeightStoreCore.Event event) {
    if (!duty.ring().offer(event)) {
      throw new StandinException(StandinException.BAD_REQUEST, NAME + " has too many calls");
    }
  }

  private void carryOut(WeightStoreCore.Effect effect) {
    if (effect instanceof WeightStoreCore.StartTransfer transfer) {
      environment
          .timer()
          .schedule(
              transfer.duration(),
              () -> offer(new WeightStoreCore.TransferFinished(transfer.exchange())));
    } else if (effect instanceof WeightStoreCore.DeliverWeights deliver) {
      respond(deliver.exchange(), HttpResponseMessage.text(200, "weights"));
    } else if (effect instanceof WeightStoreCore.RefuseRateLimited refusal) {
      long seconds = Math.max(1, refusal.retryAfter().plusMillis(999).toSeconds());
      respond(
          refusal.exchange(),
          HttpResponseMessage.error(429, "rate_limited", "the weight store is rate-limited")
              .withHeader("Retry-After", Long.toString(seconds)));
    } else if (effect instanceof WeightStoreCore.RefuseUnavailable refusal) {
      respond(
          refusal.exchange(),
          HttpResponseMessage.error(503, "unavailable", "the weight store is not available"));
    }
  }

  private void respond(long number, HttpResponseMessage response) {
    exchanges.remove(number).ifPresent(exchange -> exchange.respond(response));
  }
}
