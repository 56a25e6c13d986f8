package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;

/**
 * Applies the outcome of an order to the state of an owned engine.
 *
 * <p>Immutable and thread-safe. An order with an unknown outcome is treated as one that the engine
 * may still carry out.
 */
final class OrderCompletion {

  private static final int MAXIMUM_BACKOFF_DOUBLINGS = 10;

  private final OwnershipSettings settings;
  private final PinAllocator pins;

  OrderCompletion(OwnershipSettings settings, PinAllocator pins) {
    this.settings = settings;
    this.pins = pins;
  }

  /**
   * Applies an outcome. The permit of a load is returned only if the outcome is known, because the
   * transfer of a load with an unknown outcome may still be running.
   */
  Step<OwnershipState, EngineEffect> complete(
      OwnershipState state,
      OwnedEngine engine,
      EngineOrderState.Order order,
      OrderOutcome outcome,
      MonotonicTime time) {
    OwnedEngine completed = engine.withOrders(engine.orders().withOutcome(outcome, time));
    List<EngineEffect> effects = new ArrayList<>();
    if (order.permit().isPresent() && outcome != OrderOutcome.UNKNOWN) {
      EngineOrderState.Permit permit = order.permit().get();
      effects.add(new EngineEffect.Send(permit.issuer(), new PermitReturn(permit.number(), true)));
    }
    Residency residency = completed.residency();
    if (outcome == OrderOutcome.DONE) {
      residency =
          order.load()
              ? residency.withLoaded(order.adapter(), time)
              : residency.without(order.adapter(), time);
      return state.with(completed.withResidency(residency)).step(effects);
    }
    if (outcome == OrderOutcome.UNKNOWN) {
      residency = residency.withQuarantine(order.adapter(), time.plus(settings.orderLifetime()));
      completed = completed.withResidency(residency);
    }
    return order.load()
        ? handleFailedLoad(state, completed, order, time).with(effects)
        : state.with(completed).step(effects);
  }

  private Step<OwnershipState, EngineEffect> handleFailedLoad(
      OwnershipState state, OwnedEngine engine, EngineOrderState.Order order, MonotonicTime time) {
    AdapterReference adapter = order.adapter();
    Demand demand = engine.demand(adapter, time);
    Duration backoff = backoff(demand.consecutiveFailures(), jitter(engine, order));
    List<EngineEffect> refusals =
        pins.refuseWaiters(engine, adapter, PinRefusal.Reason.LOAD_FAILED, backoff, time);
    OwnedEngine failed =
        engine.withDemands(
            engine.demands().plus(adapter, demand.withFailedLoad(time.plus(backoff))));
    return state.with(failed).step(refusals);
  }

  /** Returns an exponential backoff with jitter: between half and all of the doubled delay. */
  private Duration backoff(int failures, long randomNumber) {
    int doublings = Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
    long maximum =
        Math.min(
            settings.initialBackoff().toMillis() << doublings,
            settings.maximumBackoff().toMillis());
    long half = Math.max(1, maximum / 2);
    return Duration.ofMillis(half + Math.floorMod(randomNumber, half));
  }

  /**
   * Returns a hash that differs between engines and orders, so that hosts do not retry failed loads
   * simultaneously.
   */
  private static long jitter(OwnedEngine engine, EngineOrderState.Order order) {
    return Rendezvous.hash(engine.name() + "/" + order.adapter() + "/" + order.number());
  }
}
