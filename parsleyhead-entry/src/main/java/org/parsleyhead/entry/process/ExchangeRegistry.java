package org.parsleyhead.entry.process;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.entry.callers.Exchange;
import org.parsleyhead.entry.callers.ExchangeHandler;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;

/**
 * The exchanges between callers' sockets and the request duty.
 *
 * <p>Thread-safe. New requests are only taken while the ring is less than half full; the other half
 * belongs to events of requests that are already active, of which each has a bounded number under
 * way, so that none of those is ever refused.
 */
final class ExchangeRegistry implements ExchangeHandler {

  private final Sender self;
  private final Ring<RequestEvent> ring;
  private final Consumer<Throwable> failures;
  private final MonotonicClock clock;
  private final Consumer<Duration> durations;
  private final Map<RequestIdentifier, Open> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean stopping;

  /**
   * Creates a registry.
   *
   * @param self this host
   * @param ring the ring of the request duty
   * @param failures takes unexpected failures of connections
   * @param clock gives the time
   * @param durations takes the time from the receipt of each request to the end of its answer
   */
  ExchangeRegistry(
      Sender self,
      Ring<RequestEvent> ring,
      Consumer<Throwable> failures,
      MonotonicClock clock,
      Consumer<Duration> durations) {
    this.self = Preconditions.requireNonNull(self, "self");
    this.ring = Preconditions.requireNonNull(ring, "ring");
    this.failures = Preconditions.requireNonNull(failures, "failures");
    this.clock = Preconditions.requireNonNull(clock, "clock");
    this.durations = Preconditions.requireNonNull(durations, "durations");
  }

  @Override
  public RequestIdentifier nextIdentifier() {
    return new RequestIdentifier(
        self.host() + "-" + self.incarnation() + "-" + sequence.incrementAndGet());
  }

  @Override
  public boolean isStopping() {
    return stopping;
  }

  @Override
  public boolean submit(Exchange exchange) {
    if (ring.size() >= ring.capacity() / 2) {
      return false;
    }
    RequestIdentifier identifier = exchange.request().description().identifier();
    exchanges.put(identifier, new Open(exchange, clock.now()));
    boolean accepted = ring.offer(new RequestEvent.Received(exchange.request().description()));
    if (!accepted) {
      exchanges.remove(identifier);
    }
    return accepted;
  }

  @Override
  public void completed(Exchange exchange) {
    Open open = exchanges.remove(exchange.request().description().identifier());
    if (open != null) {
      durations.accept(clock.now().since(open.received()));
    }
  }

  @Override
  public void callerDisconnected(Exchange exchange) {
    RequestIdentifier identifier = exchange.request().description().identifier();
    exchanges.remove(identifier);
    ring.offer(new RequestEvent.CallerGone(identifier, exchange.tokensSent()));
  }

  @Override
  public void connectionFailed(Throwable cause) {
    failures.accept(cause);
  }

  /** Returns the exchange of a request, if it is not over. */
  Optional<Exchange> find(RequestIdentifier identifier) {
    return Optional.ofNullable(exchanges.get(identifier)).map(Open::exchange);
  }

  /** Returns how many exchanges are open. */
  int size() {
    return exchanges.size();
  }

  /** Lets connections end with their current answers. */
  void stop() {
    stopping = true;
  }

  /**
   * An exchange that is not over.
   *
   * @param exchange the exchange
   * @param received when its request was received
   */
  private record Open(Exchange exchange, MonotonicTime received) {}
}
