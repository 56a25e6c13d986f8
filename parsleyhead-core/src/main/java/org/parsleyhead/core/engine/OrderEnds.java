package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;

/**
 * What the end of an order to an engine means for the owner.
 *
 * <p>Immutable and thread-safe. An order with an unknown outcome counts as one that may still be
 * carried out.
 */
final class OrderEnds {

  private static final int LARGEST_BACKOFF_DOUBLINGS = 10;

  private final OwnershipSettings settings;
  private final PinDesk pins;

  OrderEnds(OwnershipSettings settings, PinDesk pins) {
    this.settings = settings;
    this.pins = pins;
  }

  /** Takes up an outcome; a permit goes back if its transfer has surely ended. */
  Step<OwnershipState, EngineEffect> settle(
      OwnershipState state,
      OwnedEngine engine,
      OrderBook.Order order,
      OrderOutcome outcome,
      MonotonicTime time) {
    OwnedEngine settled = engine.withOrders(engine.orders().ended(outcome, time));
    List<EngineEffect> effects = new ArrayList<>();
    if (order.permit().isPresent() && outcome != OrderOutcome.UNKNOWN) {
      OrderBook.Permit permit = order.permit().get();
      effects.add(new EngineEffect.Send(permit.keeper(), new PermitReturn(permit.number(), true)));
    }
    Residency residency = settled.residency();
    if (outcome == OrderOutcome.DONE) {
      residency =
          order.load()
              ? residency.loaded(order.adapter(), time)
              : residency.without(order.adapter(), time);
      return state.with(settled.withResidency(residency)).step(effects);
    }
    if (outcome == OrderOutcome.UNKNOWN) {
      residency = residency.quarantine(order.adapter(), time.plus(settings.orderLifetime()));
      settled = settled.withResidency(residency);
    }
    return order.load()
        ? failLoad(state, settled, order, time).with(effects)
        : state.with(settled).step(effects);
  }

  private Step<OwnershipState, EngineEffect> failLoad(
      OwnershipState state, OwnedEngine engine, OrderBook.Order order, MonotonicTime time) {
    AdapterReference adapter = order.adapter();
    Demand demand = engine.demand(adapter, time);
    Duration backoff = backoff(demand.failures(), jitter(engine, order));
    List<EngineEffect> refusals =
        pins.refuseWaiters(engine, adapter, PinRefusal.Reason.LOAD_FAILED, backoff, time);
    OwnedEngine failed =
        engine.withDemands(engine.demands().plus(adapter, demand.failed(time.plus(backoff))));
    return state.with(failed).step(refusals);
  }

  /** Returns a wait between half and all of the doubled one. */
  private Duration backoff(int failures, long randomNumber) {
    int doublings = Math.min(failures, LARGEST_BACKOFF_DOUBLINGS);
    long longest =
        Math.min(
            settings.firstBackoff().toMillis() << doublings, settings.longestBackoff().toMillis());
    long half = Math.max(1, longest / 2);
    return Duration.ofMillis(half + Math.floorMod(randomNumber, half));
  }

  /** Equal on no two engines and orders, so that hosts do not repeat failed loads together. */
  private static long jitter(OwnedEngine engine, OrderBook.Order order) {
    return Rendezvous.hash(engine.name() + "/" + order.adapter() + "/" + order.number());
  }
}
