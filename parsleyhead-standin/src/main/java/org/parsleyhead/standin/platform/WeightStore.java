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
import org.parsleyhead.standin.http.HttpAnswer;
import org.parsleyhead.standin.http.HttpCall;
import org.parsleyhead.standin.http.HttpListener;

/**
 * A stand-in for the weight store: {@code GET /v1/weights/PATH} answers when the transfer is over.
 *
 * <p>Thread-safe. A transfer beyond the rate is refused with 429 and {@code Retry-After}.
 */
public final class WeightStore implements Standin {

  private static final String NAME = "weights";
  private static final int RING_CAPACITY = 4_096;
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

  private final StandinEnvironment environment;
  private final HttpListener listener;
  private final ExchangeTable<Exchange> exchanges = new ExchangeTable<>();
  private final Duty<WeightStoreCore.State, WeightStoreCore.Event, WeightStoreCore.Effect> duty;

  /** Starts a store whose listener is not yet open. */
  public WeightStore(
      Endpoint endpoint, WeightStoreSettings settings, StandinEnvironment environment) {
    this.environment = environment;
    this.listener = new HttpListener(environment.group(), endpoint, this::handle);
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
            failure -> environment.failed(NAME, failure));
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
    offer(new WeightStoreCore.Mode(change));
  }

  @Override
  public long calls() {
    return duty.state().calls();
  }

  /** Returns how many transfers were refused for the rate. */
  public long refused() {
    return duty.state().refused();
  }

  @Override
  public void close() {
    listener.close();
    duty.close();
  }

  private void handle(HttpCall call, Exchange exchange) {
    if (!call.method().equals("GET") || call.pathAfter("/v1/weights/").isEmpty()) {
      exchange.answer(HttpAnswer.error(404, "not_found", "no such call: " + call.path()));
      return;
    }
    offer(new WeightStoreCore.Fetch(exchanges.add(exchange)));
  }

  private void offer(WeightStoreCore.Event event) {
    if (!duty.ring().offer(event)) {
      throw new StandinException(StandinException.BAD_REQUEST, NAME + " has too many calls");
    }
  }

  private void carryOut(WeightStoreCore.Effect effect) {
    if (effect instanceof WeightStoreCore.Transfer transfer) {
      environment
          .timer()
          .after(
              transfer.duration(), () -> offer(new WeightStoreCore.Finished(transfer.exchange())));
    } else if (effect instanceof WeightStoreCore.Deliver deliver) {
      answer(deliver.exchange(), HttpAnswer.text(200, "weights"));
    } else if (effect instanceof WeightStoreCore.RefuseRate refusal) {
      long seconds = Math.max(1, refusal.retryAfter().plusMillis(999).toSeconds());
      answer(
          refusal.exchange(),
          HttpAnswer.error(429, "rate_limited", "the weight store is rate-limited")
              .with("Retry-After", Long.toString(seconds)));
    } else if (effect instanceof WeightStoreCore.RefuseUnavailable refusal) {
      answer(
          refusal.exchange(),
          HttpAnswer.error(503, "unavailable", "the weight store is not available"));
    }
  }

  private void answer(long number, HttpAnswer answer) {
    exchanges.remove(number).ifPresent(exchange -> exchange.answer(answer));
  }
}
