package org.parsleyhead.entry.process;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.entry.callers.CallerPort;
import org.parsleyhead.entry.callers.Exchange;
import org.parsleyhead.runtime.duty.Ring;

/**
 * The exchanges between callers' sockets and the request duty.
 *
 * <p>Thread-safe. New requests are only taken while the ring is less than half full; the other half
 * belongs to events of requests that are already active, of which each has a bounded number under
 * way, so that none of those is ever refused.
 */
final class ExchangeRegistry implements CallerPort {

  private final Sender self;
  private final Ring<RequestEvent> ring;
  private final Consumer<Throwable> failures;
  private final Map<RequestIdentifier, Exchange> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean stopping;

  ExchangeRegistry(Sender self, Ring<RequestEvent> ring, Consumer<Throwable> failures) {
    this.self = Preconditions.requireNonNull(self, "self");
    this.ring = Preconditions.requireNonNull(ring, "ring");
    this.failures = Preconditions.requireNonNull(failures, "failures");
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
  public boolean received(Exchange exchange) {
    if (ring.size() >= ring.capacity() / 2) {
      return false;
    }
    RequestIdentifier identifier = exchange.request().description().identifier();
    exchanges.put(identifier, exchange);
    boolean accepted = ring.offer(new RequestEvent.Received(exchange.request().description()));
    if (!accepted) {
      exchanges.remove(identifier);
    }
    return accepted;
  }

  @Override
  public void ended(Exchange exchange) {
    exchanges.remove(exchange.request().description().identifier());
  }

  @Override
  public void callerGone(Exchange exchange) {
    RequestIdentifier identifier = exchange.request().description().identifier();
    exchanges.remove(identifier);
    ring.offer(new RequestEvent.CallerGone(identifier, exchange.tokensPassed()));
  }

  @Override
  public void connectionFailed(Throwable cause) {
    failures.accept(cause);
  }

  /** Returns the exchange of a request, if it is not over. */
  Optional<Exchange> find(RequestIdentifier identifier) {
    return Optional.ofNullable(exchanges.get(identifier));
  }

  /** Returns how many exchanges are open. */
  int size() {
    return exchanges.size();
  }

  /** Lets connections end with their current answers. */
  void stop() {
    stopping = true;
  }
}
