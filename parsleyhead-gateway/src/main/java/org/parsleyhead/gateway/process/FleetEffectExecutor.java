package org.parsleyhead.gateway.process;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.parsleyhead.core.dispatch.DispatchEvent;
import org.parsleyhead.core.fleet.FleetEffect;
import org.parsleyhead.core.fleet.FleetEvent;
import org.parsleyhead.core.publication.PublicationEvent;
import org.parsleyhead.gateway.api.EngineControl;
import org.parsleyhead.gateway.peers.PeerSockets;
import org.parsleyhead.runtime.duty.MonotonicClock;
import org.parsleyhead.runtime.duty.Ring;
import org.parsleyhead.runtime.log.EventLog;

/**
 * Executes the effects of the fleet duty.
 *
 * <p>Confined to the fleet duty. The right to send an order, which ends with the lease, is checked
 * again immediately before the order is written.
 */
final class FleetEffectExecutor implements Consumer<FleetEffect> {

  private static final EventLog LOG = new EventLog("fleet");
  private static final int NOT_WRITTEN_STATUS = 0;

  private final PeerSockets peers;
  private final EngineControl engines;
  private final Ring<FleetEvent> fleet;
  private final Ring<DispatchEvent> dispatch;
  private final Ring<PublicationEvent> publication;
  private final MonotonicClock clock;
  private final GatewayMetrics metrics;

  /** Initially differs from every set of identifiers, so that the first one is passed on. */
  private Set<String> lastOwnedInstances = Set.of("");

  FleetEffectExecutor(
      PeerSockets peers,
      EngineControl engines,
      Ring<FleetEvent> fleet,
      Ring<DispatchEvent> dispatch,
      Ring<PublicationEvent> publication,
      MonotonicClock clock,
      GatewayMetrics metrics) {
    this.peers = peers;
    this.engines = engines;
    this.fleet = fleet;
    this.dispatch = dispatch;
    this.publication = publication;
    this.clock = clock;
    this.metrics = metrics;
  }

  @Override
  public void accept(FleetEffect effect) {
    if (effect instanceof FleetEffect.SendMessage send) {
      peers.send(send.endpoint(), send.message());
    } else if (effect instanceof FleetEffect.SendOrder order) {
      sendOrder(order);
    } else if (effect instanceof FleetEffect.RequestReport request) {
      metrics.engineRequestSent("report");
      engines.requestReport(request.instance(), fleet::offer);
    } else if (effect instanceof FleetEffect.LoadOrdered ordered) {
      dispatch.offer(
          new DispatchEvent.LoadOrdered(
              ordered.instance(), ordered.adapter(), ordered.readyIn(), ordered.loadingFor()));
    } else if (effect instanceof FleetEffect.LoadRefused refused) {
      LOG.request(
          "load_refused",
          "instance",
          refused.instance(),
          "adapter",
          refused.adapter(),
          "reason",
          refused.reason());
      dispatch.offer(
          new DispatchEvent.LoadRefused(refused.instance(), refused.adapter(), refused.reason()));
    } else {
      notifyDuties(effect);
    }
  }

  private void notifyDuties(FleetEffect effect) {
    if (effect instanceof FleetEffect.AdaptersReported reported) {
      dispatch.offer(new DispatchEvent.AdaptersReported(reported.report()));
    } else if (effect instanceof FleetEffect.PeerStatistics statistics) {
      if (statistics.counted()) {
        dispatch.offer(
            new DispatchEvent.PeerReported(
                statistics.host(),
                statistics.incarnation(),
                statistics.heartbeat().aggregated(),
                statistics.heartbeat().admittedUnits(),
                statistics.heartbeat().loads()));
      }
      publication.offer(
          new PublicationEvent.PeerRevision(
              statistics.host(), statistics.heartbeat().era(), statistics.heartbeat().revision()));
    } else if (effect instanceof FleetEffect.OwnersKnown known) {
      ownersKnown(known);
    } else if (effect instanceof FleetEffect.HostsChanged changed) {
      dispatch.offer(
          new DispatchEvent.LiveHostsChanged(List.copyOf(changed.live()), changed.known()));
    } else if (effect instanceof FleetEffect.ReaderRole role) {
      publication.offer(new PublicationEvent.ReaderRole(role.reader()));
    } else if (effect instanceof FleetEffect.LogEvent logEvent) {
      LOG.info(
          logEvent.event(),
          "subject",
          logEvent.subject(),
          "detail",
          logEvent.detail().orElse("none"));
    }
  }

  private void ownersKnown(FleetEffect.OwnersKnown known) {
    boolean changed = !known.instances().equals(lastOwnedInstances);
    if (changed
        && dispatch.offer(
            new DispatchEvent.InstanceOwnersChanged(known.instances(), known.takeoverDelay()))) {
      lastOwnedInstances = known.instances();
    }
  }

  private void sendOrder(FleetEffect.SendOrder order) {
    boolean inTime = clock.now().isBefore(order.writeBefore());
    LOG.request(
        "order",
        "instance",
        order.instance().identifier(),
        "kind",
        order.kind(),
        "adapter",
        order.adapter(),
        "expected_orders",
        order.expectedOrders(),
        "fence",
        order.fence(),
        "written",
        inTime);
    if (!inTime) {
      fleet.offer(
          new FleetEvent.OrderAnswered(
              order.instance().identifier(), order.orderNumber(), NOT_WRITTEN_STATUS));
      return;
    }
    metrics.engineRequestSent(order.kind().name());
    engines.sendOrder(order, fleet::offer);
  }
}
