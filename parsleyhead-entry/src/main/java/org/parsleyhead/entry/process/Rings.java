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
 * <p>When a ring is full, a new request is refused, and a message of another host is dropped, which
 * the protocols tolerate. Events of active requests always fit, because the rings that they pass
 * have capacity for several events per active request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request events of the request duty
 * @param repeat events of duplicate detection
 * @param quota events of rate and burst accounting
 * @param scheduling events of engine selection
 * @param routing events of the selection of plain services
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
  private static final int CONTROL_EVENT_CAPACITY = 8_192;

  /** Creates empty rings with capacity for a maximum number of active requests. */
  static Rings create(int maximumActive) {
    int perRequest = EVENTS_PER_REQUEST * maximumActive + CONTROL_EVENT_CAPACITY;
    return new Rings(
        new Ring<>("request", perRequest),
        new Ring<>("repeat", perRequest),
        new Ring<>("quota", perRequest),
        new Ring<>("scheduling", perRequest),
        new Ring<>("routing", perRequest),
        new Ring<>("ownership", CONTROL_EVENT_CAPACITY));
  }

  /** Registers the metrics of all rings. */
  void register(Metrics metrics) {
    metrics.registerRing(request);
    metrics.registerRing(repeat);
    metrics.registerRing(quota);
    metrics.registerRing(scheduling);
    metrics.registerRing(routing);
    metrics.registerRing(ownership);
  }
}
