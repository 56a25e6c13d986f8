package org.parsleyhead.standin.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.parsleyhead.codec.json.HostListCodec;
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
 * A stand-in for the configuration service or the host list: the HTTP listener and the duty around
 * a {@link PublicationCore}.
 *
 * <p>Thread-safe. Readers can only read and watch; the administration service of the process sets
 * the values. A request is refused with status 503 while the ring is full.
 */
public final class PublicationService implements Standin {

  private static final int RING_CAPACITY = 16_384;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

  private static final String HOSTS = "hosts";
  private static final String CONFIGURATION = "configuration";

  private final String kind;
  private final String name;
  private final Duration lag;
  private final PublicationRouter router;
  private final StandinEnvironment environment;
  private final HttpListener listener;
  private final ExchangeTable<Exchange> exchanges = new ExchangeTable<>();
  private final Duty<PublicationState, PublicationEvent, PublicationEffect> duty;

  private PublicationService(
      String kind,
      String name,
      Endpoint endpoint,
      Duration lag,
      PublicationRouter router,
      StandinEnvironment environment) {
    this.kind = kind;
    this.name = name;
    this.lag = lag;
    this.router = router;
    this.environment = environment;
    this.listener = new HttpListener(environment.eventLoops(), endpoint, this::handle);
    this.duty =
        new Duty<>(
            new Ring<>(name, RING_CAPACITY),
            PublicationState.INITIAL,
            new PublicationCore(),
            this::carryOut,
            PublicationEvent.Tick::new,
            TICK_INTERVAL,
            environment.clock(),
            failure -> environment.logEventFailure(name, failure));
    duty.start();
  }

  /** Creates a configuration service and starts its duty; its listener is not yet open. */
  public static PublicationService configuration(
      Endpoint endpoint, StandinEnvironment environment) {
    return new PublicationService(
        CONFIGURATION,
        CONFIGURATION,
        endpoint,
        Duration.ZERO,
        PublicationRouter::configuration,
        environment);
  }

  /**
   * Creates a host list whose changes become visible after a lag and starts its duty; its listener
   * is not yet open.
   */
  public static PublicationService hosts(
      Endpoint endpoint, Duration lag, StandinEnvironment environment) {
    return hosts(HOSTS, endpoint, lag, environment);
  }

  /** Creates a host list with a given name and starts its duty; its listener is not yet open. */
  public static PublicationService hosts(
      String name, Endpoint endpoint, Duration lag, StandinEnvironment environment) {
    return new PublicationService(
        HOSTS, name, endpoint, lag, PublicationRouter::hosts, environment);
  }

  /** Sets a value under the next revision. */
  public void put(String path, byte[] bytes) {
    offer(new PublicationEvent.Put(path, bytes, OptionalLong.empty()));
  }

  /**
   * Sets the host list after the lag; its revision is the version in the document.
   *
   * @throws org.parsleyhead.codec.CodecException if the document is not a host list
   */
  public void putHostList(byte[] document) {
    long version = HostListCodec.decode(document).version();
    PublicationEvent event =
        new PublicationEvent.Put(PublicationRouter.HOSTS_PATH, document, OptionalLong.of(version));
    if (lag.isZero()) {
      offer(event);
    } else {
      environment.timer().schedule(lag, () -> offer(event));
    }
  }

  /** Removes a value. */
  public void delete(String path) {
    offer(new PublicationEvent.Delete(path));
  }

  /** Returns how many watches are pending. */
  public int pendingWatches() {
    return duty.state().watches().size();
  }

  @Override
  public String kind() {
    return kind;
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
    offer(new PublicationEvent.ModeChanged(change));
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
    long number = exchanges.add(exchange);
    Optional<PublicationEvent> event = router.route(request, number);
    if (event.isEmpty()) {
      exchanges.remove(number);
      exchange.respond(
          HttpResponseMessage.error(404, "not_found", "no such call: " + request.path()));
    } else if (!duty.ring().offer(event.get())) {
      exchanges.remove(number);
      exchange.respond(HttpResponseMessage.error(503, "busy", "the stand-in has too many calls"));
    } else {
      exchange.onConnectionClosed(() -> onConnectionClosed(number));
    }
  }

  private void onConnectionClosed(long number) {
    if (exchanges.remove(number).isPresent()) {
      duty.ring().offer(new PublicationEvent.ConnectionClosed(number));
    }
  }

  private void offer(PublicationEvent event) {
    if (!duty.ring().offer(event)) {
      throw new StandinException(StandinException.BAD_REQUEST, name + " has too many calls");
    }
  }

  private void carryOut(PublicationEffect effect) {
    if (effect instanceof PublicationEffect.Found found) {
      HttpResponseMessage response =
          HttpResponseMessage.of(200, "application/json", found.value().bytes())
              .withHeader("Revision", Long.toString(found.value().revision()));
      respond(found.exchange(), response, found.delay());
    } else if (effect instanceof PublicationEffect.Missing missing) {
      HttpResponseMessage response =
          HttpResponseMessage.error(404, "not_found", "there is no such value");
      respond(missing.exchange(), response, missing.delay());
    } else if (effect instanceof PublicationEffect.Unchanged) {
      respond(effect.exchange(), HttpResponseMessage.empty(304), Duration.ZERO);
    } else {
      HttpResponseMessage response =
          HttpResponseMessage.error(503, "unavailable", "the service is not available");
      respond(effect.exchange(), response, Duration.ZERO);
    }
  }

  private void respond(long number, HttpResponseMessage response, Duration delay) {
    exchanges
        .remove(number)
        .ifPresent(
            exchange -> {
              if (delay.isZero()) {
                exchange.respond(response);
              } else {
                environment.timer().schedule(delay, () -> exchange.respond(response));
              }
            });
  }
}
