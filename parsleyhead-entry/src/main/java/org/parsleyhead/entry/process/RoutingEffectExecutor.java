package org.parsleyhead.entry.process;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.routing.RoutingEffect;
import org.parsleyhead.core.ticket.Catalogue;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.log.EventLog;

/** Executes the effects of the routing duty. Runs on its thread and does not block. */
final class RoutingEffectExecutor implements Consumer<RoutingEffect> {

  private static final Duration CHOICE_VALIDITY = Duration.ofSeconds(5);

  private final Rings rings;
  private final Supplier<Catalogue> catalogue;
  private final MonotonicClock clock;
  private final EventLog log;

  RoutingEffectExecutor(
      Rings rings, Supplier<Catalogue> catalogue, MonotonicClock clock, EventLog log) {
    this.rings = Preconditions.requireNonNull(rings, "rings");
    this.catalogue = Preconditions.requireNonNull(catalogue, "catalogue");
    this.clock = Preconditions.requireNonNull(clock, "clock");
    this.log = Preconditions.requireNonNull(log, "log");
  }

  @Override
  public void accept(RoutingEffect effect) {
    if (effect instanceof RoutingEffect.Send send) {
      send(send);
    } else if (effect instanceof RoutingEffect.Refuse refuse) {
      rings
          .request()
          .offer(
              new RequestEvent.NotDispatched(
                  refuse.identifier(),
                  "no upstream of the route can take the call",
                  Optional.of(refuse.retryAfter())));
    } else if (effect instanceof RoutingEffect.Ejected ejected) {
      log.warning(
          "upstream_ejected",
          "upstream",
          ejected.upstream(),
          "milliseconds",
          ejected.duration().toMillis());
    } else if (effect instanceof RoutingEffect.Restored restored) {
      log.info("upstream_restored", "upstream", restored.upstream());
    }
  }

  private void send(RoutingEffect.Send send) {
    Optional<UpstreamItem> upstream = catalogue.get().upstream(send.upstream());
    RequestEvent event =
        upstream
            .<RequestEvent>map(
                item ->
                    new RequestEvent.Dispatched(
                        send.identifier(), item, clock.now().plus(CHOICE_VALIDITY)))
            .orElseGet(
                () ->
                    new RequestEvent.NotDispatched(
                        send.identifier(), "the upstream is no longer declared", Optional.empty()));
    rings.request().offer(event);
  }
}
