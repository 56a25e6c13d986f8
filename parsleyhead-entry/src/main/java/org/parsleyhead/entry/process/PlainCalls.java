package org.parsleyhead.entry.process;

import java.util.Optional;
import java.util.function.Supplier;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.request.RequestEffect;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.runtime.duty.MonotonicClock;

/**
 * Chooses plain services for calls.
 *
 * <p>Thread-safe.
 */
final class PlainCalls {

  private final Rings rings;
  private final Supplier<Catalogue> catalogue;
  private final MonotonicClock clock;

  PlainCalls(Rings rings, Supplier<Catalogue> catalogue, MonotonicClock clock) {
    this.rings = Preconditions.requireNonNull(rings, "rings");
    this.catalogue = Preconditions.requireNonNull(catalogue, "catalogue");
    this.clock = Preconditions.requireNonNull(clock, "clock");
  }

  /** Chooses among the declared upstreams of the route that are neither leaving nor excluded. */
  void submit(RequestEffect.SubmitPlainCall call) {
    Optional<UpstreamItem> chosen =
        Rendezvous.order(call.identifier().text(), call.route().upstreams()).stream()
            .filter(name -> !call.excluded().contains(name))
            .map(this::find)
            .flatMap(Optional::stream)
            .filter(upstream -> !upstream.leaving())
            .findFirst();
    MonotonicTime writeBefore = clock.now().plus(call.route().deadline());
    RequestEvent event =
        chosen
            .<RequestEvent>map(
                upstream -> new RequestEvent.Dispatched(call.identifier(), upstream, writeBefore))
            .orElseGet(
                () ->
                    new RequestEvent.NotDispatched(
                        call.identifier(),
                        "no upstream of the route can take the call",
                        Optional.empty()));
    rings.request().offer(event);
  }

  /** Is told that a call left its upstream. */
  void withdraw(RequestEffect.Withdraw withdraw) {}

  private Optional<UpstreamItem> find(UpstreamName name) {
    return catalogue.get().upstream(name);
  }
}
