package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Decides the next order to an owned engine.
 *
 * <p>Immutable and thread-safe. An engine has one pending order at a time. After an order whose
 * outcome is unknown the engine is read before the next one. Each right is checked in the same call
 * that emits the order.
 */
final class EngineOrders {

  private static final Duration READING_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration WRITE_WINDOW = Duration.ofSeconds(1);
  private static final int PERMIT_REFRESHES_IN_WINDOW = 4;

  private final OwnershipSettings settings;
  private final OwnershipRights rights;
  private final PinDesk pins;
  private final SlotRecall slots;
  private final OrderEnds ends;

  EngineOrders(
      OwnershipSettings settings, OwnershipRights rights, PinDesk pins, VictimChoice victims) {
    this.settings = settings;
    this.rights = rights;
    this.pins = pins;
    this.slots = new SlotRecall(settings, rights, pins, victims);
    this.ends = new OrderEnds(settings, pins);
  }

  /** Gives the next order, if one is due and allowed. */
  Step<OwnershipState, EngineEffect> advance(
      OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    if (engine == null || engine.orders().pending().isPresent()) {
      return Step.of(state);
    }
    if (engine.orders().unknownSince().isPresent() || !pins.isKnown(engine, time)) {
      return Step.of(state);
    }
    Optional<AdapterReference> wanted = wanted(engine, time);
    if (wanted.isEmpty() || engine.isLeaving()) {
      return state
          .with(engine.withOrders(engine.orders().withPermit(Optional.empty())))
          .step(returnPermit(engine));
    }
    if (!rights.mayLoad(engine, state.standing(), time)) {
      return Step.of(state);
    }
    return engine.isFull()
        ? makeRoom(state, engine, wanted.get(), time)
        : withPermit(state, engine, wanted.get(), time, this::load);
  }

  /** Takes up a permit; one that nobody waits for goes back. */
  Step<OwnershipState, EngineEffect> permitted(
      OwnershipState state, HostName keeper, PermitGrant grant, MonotonicTime time) {
    if (!grant.requester().equals(state.standing().incarnation())) {
      return Step.of(state);
    }
    for (OwnedEngine engine : state.owned().values()) {
      Optional<OrderBook.Permit> permit = engine.orders().permit();
      if (permit.isPresent() && permit.get().number() == grant.number()) {
        OrderBook granted = engine.orders().withPermit(permit.map(OrderBook.Permit::asGranted));
        return advance(state.with(engine.withOrders(granted)), engine.name(), time);
      }
    }
    return Step.of(state, new EngineEffect.Send(keeper, new PermitReturn(grant.number(), false)));
  }

  /** Takes up the end of an order. */
  Step<OwnershipState, EngineEffect> end(
      OwnershipState state, EngineEvent.OrderEnded ended, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(ended.engine());
    if (engine == null) {
      return Step.of(state);
    }
    Optional<OrderBook.Order> order =
        engine.orders().pending().filter(pending -> pending.number() == ended.orderNumber());
    return order.isEmpty()
        ? Step.of(state)
        : ends.settle(state, engine, order.get(), ended.outcome(), time)
            .andThen(next -> pins.answerWaiters(next, ended.engine(), time))
            .andThen(next -> advance(next, ended.engine(), time));
  }

  /** Ends orders without an answer and begins readings that are due. */
  Step<OwnershipState, EngineEffect> expire(
      OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    Optional<OrderBook.Order> late =
        engine
            .orders()
            .pending()
            .filter(order -> !time.isBefore(order.sent().plus(settings.orderTimeout())));
    Step<OwnershipState, EngineEffect> step =
        late.isEmpty()
            ? Step.of(state)
            : ends.settle(state, engine, late.get(), OrderOutcome.UNKNOWN, time);
    return step.andThen(next -> read(next, next.owned().get(name), time));
  }

  /** Returns the effects that give an engine's unused permit back. */
  List<EngineEffect> returnPermit(OwnedEngine engine) {
    return engine
        .orders()
        .permit()
        .<List<EngineEffect>>map(
            permit ->
                List.of(
                    new EngineEffect.Send(
                        permit.keeper(), new PermitReturn(permit.number(), false))))
        .orElse(List.of());
  }

  private Step<OwnershipState, EngineEffect> read(
      OwnershipState state, OwnedEngine engine, MonotonicTime time) {
    OrderBook orders = engine.orders();
    boolean reading =
        orders.readingSince().isPresent()
            && time.isBefore(orders.readingSince().get().plus(READING_TIMEOUT));
    boolean recent = engine.residency().isReadSince(time.minus(settings.readInterval()));
    boolean due = orders.unknownSince().isPresent() || !recent;
    if (reading || !due) {
      return Step.of(state);
    }
    return Step.of(
        state.with(engine.withOrders(orders.reading(time))),
        new EngineEffect.ReadEngine(engine.name()));
  }

  private static Optional<AdapterReference> wanted(OwnedEngine engine, MonotonicTime time) {
    AdapterReference best = null;
    long bestWeight = 0;
    for (Map.Entry<AdapterReference, Demand> entry : engine.demands().entrySet()) {
      AdapterReference adapter = entry.getKey();
      boolean loadable =
          entry.getValue().isDue(time)
              && !engine.residency().resident().contains(adapter)
              && !engine.residency().isQuarantined(adapter);
      long weight = entry.getValue().weight(time);
      boolean better =
          weight > bestWeight
              || (weight == bestWeight && best != null && adapter.compareTo(best) < 0);
      if (loadable && better) {
        best = adapter;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  /** An order that needs a permit and is given as soon as there is one. */
  @FunctionalInterface
  private interface PermittedOrder {
    Step<OwnershipState, EngineEffect> give(
        OwnershipState state,
        OwnedEngine engine,
        AdapterReference adapter,
        OrderBook.Permit permit,
        MonotonicTime time);
  }

  private Step<OwnershipState, EngineEffect> withPermit(
      OwnershipState state,
      OwnedEngine engine,
      AdapterReference adapter,
      MonotonicTime time,
      PermittedOrder order) {
    Optional<OrderBook.Permit> permit = engine.orders().permit();
    if (permit.isEmpty()) {
      return requestPermit(state, engine, adapter, state.nextNumber(), time);
    }
    Duration age = time.since(permit.get().requested());
    if (permit.get().granted()) {
      Duration usable = settings.permitStartWindow().minus(settings.clockMargin());
      return age.compareTo(usable) < 0
          ? order.give(state, engine, adapter, permit.get(), time)
          : requestPermit(state, engine, adapter, state.nextNumber(), time)
              .with(returnPermit(engine));
    }
    Duration refresh = settings.permitStartWindow().dividedBy(PERMIT_REFRESHES_IN_WINDOW);
    return age.compareTo(refresh) < 0
        ? Step.of(state)
        : requestPermit(state, engine, adapter, permit.get().number(), time);
  }

  private Step<OwnershipState, EngineEffect> requestPermit(
      OwnershipState state,
      OwnedEngine engine,
      AdapterReference adapter,
      long replaces,
      MonotonicTime time) {
    Optional<HostName> keeper = state.keeperHost();
    if (keeper.isEmpty()) {
      return Step.of(state);
    }
    long number = state.nextNumber();
    int weight = engine.demand(adapter, time).weight(time);
    OrderBook.Permit permit = new OrderBook.Permit(keeper.get(), number, time, false);
    return Step.of(
        state
            .withNextNumber(number + 1)
            .with(engine.withOrders(engine.orders().withPermit(Optional.of(permit)))),
        new EngineEffect.Send(keeper.get(), new PermitRequest(number, replaces, weight)));
  }

  private Step<OwnershipState, EngineEffect> load(
      OwnershipState state,
      OwnedEngine engine,
      AdapterReference adapter,
      OrderBook.Permit permit,
      MonotonicTime time) {
    long number = state.nextNumber();
    OrderBook.Order order = new OrderBook.Order(number, true, adapter, time, Optional.of(permit));
    return Step.of(
        state
            .withNextNumber(number + 1)
            .with(engine.withOrders(engine.orders().withPending(order))),
        new EngineEffect.LoadAdapter(
            engine.name(), number, adapter, fencing(state, engine), time.plus(WRITE_WINDOW)));
  }

  private Step<OwnershipState, EngineEffect> makeRoom(
      OwnershipState state, OwnedEngine engine, AdapterReference wanted, MonotonicTime time) {
    Optional<VictimChoice.Candidate> victim = slots.evictable(state, engine, time);
    return victim.isPresent()
        ? withPermit(
            state,
            engine,
            wanted,
            time,
            (current, owned, ignored, permit, now) ->
                unload(current, owned, victim.get().adapter(), now))
        : slots.recallOrRefuse(state, engine, wanted, time);
  }

  private Step<OwnershipState, EngineEffect> unload(
      OwnershipState state, OwnedEngine engine, AdapterReference victim, MonotonicTime time) {
    long number = state.nextNumber();
    OrderBook.Order order = new OrderBook.Order(number, false, victim, time, Optional.empty());
    return Step.of(
        state
            .withNextNumber(number + 1)
            .with(
                engine
                    .withResidency(engine.residency().without(victim, time))
                    .withOrders(engine.orders().withPending(order))),
        new EngineEffect.UnloadAdapter(
            engine.name(), number, victim, fencing(state, engine), time.plus(WRITE_WINDOW)));
  }

  private static long fencing(OwnershipState state, OwnedEngine engine) {
    return FencingNumber.of(state.standing(), engine.orders().fencingRetries());
  }
}
