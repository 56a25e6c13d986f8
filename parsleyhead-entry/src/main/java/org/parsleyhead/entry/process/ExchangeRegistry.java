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
 * The open exchanges, which connect the callers' sockets to the request duty.
 *
 * <p>New requests are accepted only while the ring is less than half full. The other half is
 * reserved for events of active requests: each of them has a bounded number of events in flight, so
 * none of these events is ever rejected.
 *
 * <p>Thread-safe.
 */
final class ExchangeRegistry implements ExchangeHandler {

  private final Sender self;
  private final Ring<RequestEvent> ring;
  private final Consumer<Throwable> failures;
  private final MonotonicClock clock;
  private final Consumer<Duration> durations;
  private final Map<RequestIdentifier, OpenExchange> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean stopping;

  /**
   * Creates a registry.
   *
   * @param self this host
   * @param ring the ring of the request duty
   * @param failures receives unexpected failures of connections
   * @param clock the clock that measures exchanges
   * @param durations receives the time from the receipt of each request to the end of its response
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
    exchanges.put(identifier, new OpenExchange(exchange, clock.now()));
    boolean accepted = ring.offer(new RequestEvent.Received(exchange.request().description()));
    if (!accepted) {
      exchanges.remove(identifier);
    }
    return accepted;
  }

  @Override
  public void completed(Exchange exchange) {
    OpenExchange open = exchanges.remove(exchange.request().description().identifier());
    if (open != null) {
      durations.accept(clock.now().since(open.received()));
    }
  }

  @Override
  public void callerDisconnected(Exchange exchange) {
    RequestIdentifier identifier = exchange.request().description().identifier();
    exchanges.remove(identifier);
    ring.offer(new RequestEvent.CallerDisconnected(identifier, exchange.tokensSent()));
  }

  @Override
  public void connectionFailed(Throwable cause) {
    failures.accept(cause);
  }

  /** Returns the exchange of a request if it is still open. */
  Optional<Exchange> find(RequestIdentifier identifier) {
    return Optional.ofNullable(exchanges.get(identifier)).map(OpenExchange::exchange);
  }

  /** Returns the number of open exchanges. */
  int size() {
    return exchanges.size();
  }

  /** Marks this host as stopping, so that connections close after their current response. */
  void stop() {
    stopping = true;
  }

  /**
   * An exchange that has not completed.
   *
   * @param exchange the exchange
   * @param received when its request was received
   */
  private record OpenExchange(Exchange exchange, MonotonicTime received) {}
}
