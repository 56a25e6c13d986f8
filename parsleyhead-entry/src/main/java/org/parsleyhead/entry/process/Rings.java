package org.parsleyhead.entry.process;

import org.parsleyhead.core.engine.EngineEvent;
import org.parsleyhead.core.idempotency.RepeatEvent;
import org.parsleyhead.core.quota.QuotaEvent;
import org.parsleyhead.core.request.RequestEvent;
import org.parsleyhead.core.routing.RoutingEvent;
import org.parsleyhead.core.scheduling.SchedulingEvent;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.metrics.Metrics;

/**
 * The rings of the duties of an entry host.
 *
 * <p>Immutable and thread-safe. When a ring is full: a new request is refused; a message of another
 * host is dropped, which the protocols tolerate; what concerns an active request finds room, since
 * the rings on its way hold several events for each request that may be active.
 *
 * @param request events of requests
 * @param repeat events of the recognition of repetitions
 * @param quota events of rate and burst
 * @param scheduling events of the choice of engines
 * @param routing events of the choice of plain services
 * @param ownership events of engine ownership
 */
record Rings(
    Ring<RequestEvent> request,
    Ring<RepeatEvent> repeat,
    Ring<QuotaEvent> quota,
    Ring<SchedulingEvent> scheduling,
    Ring<RoutingEvent> routing,
    Ring<EngineEvent> ownership) {

  private static final int EVENTS_PER_REQUEST = 8;
  private static final int CONTROL_EVENTS = 8_192;

  /** Creates empty rings for a number of active requests. */
  static Rings create(int maximumActive) {
    int perRequest = EVENTS_PER_REQUEST * maximumActive + CONTROL_EVENTS;
    return new Rings(
        new Ring<>("request", perRequest),
        new Ring<>("repeat", perRequest),
        new Ring<>("quota", perRequest),
        new Ring<>("scheduling", perRequest),
        new Ring<>("routing", perRequest),
        new Ring<>("ownership", CONTROL_EVENTS));
  }

  /** Registers sizes and refusals. */
  void register(Metrics metrics) {
    metrics.registerRing(request);
    metrics.registerRing(repeat);
    metrics.registerRing(quota);
    metrics.registerRing(scheduling);
    metrics.registerRing(routing);
    metrics.registerRing(ownership);
  }
}
