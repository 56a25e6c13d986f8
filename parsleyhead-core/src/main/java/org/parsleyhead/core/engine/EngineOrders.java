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
 * Decides the next load or unload order and the state reads of an owned engine.
 *
 * <p>Immutable and thread-safe. An engine has at most one pending order. After an order whose
 * outcome is unknown, the engine is read before the next order. Each right is checked in the same
 * call that emits the order.
 */
final class EngineOrders {

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration WRITE_WINDOW = Duration.ofSeconds(1);
  private static final int PERMIT_REFRESHES_PER_START_WINDOW = 4;

  private final OwnershipSettings settings;
  private final OwnershipRights rights;
  private final PinAllocator pins;
  private final SlotReclaimer slotReclaimer;
  private final OrderCompletion orderCompletion;

  EngineOrders(
      OwnershipSettings settings,
      OwnershipRights rights,
      PinAllocator pins,
      EvictionPolicy evictionPolicy) {
    this.settings = settings;
    this.rights = rights;
    this.pins = pins;
    this.slotReclaimer = new SlotReclaimer(settings, rights, pins, evictionPolicy);
    this.orderCompletion = new OrderCompletion(settings, pins);
  }

  /**
   * Emits the next order if one is due and allowed. A permit that no adapter needs any longer is
   * returned.
   */
  Step<OwnershipState, EngineEffect> advance(
      OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    if (engine == null || engine.orders().pending().isPresent()) {
      return Step.of(state);
    }
    if (engine.orders().unknownSince().isPresent() || !pins.hasFreshReport(engine, time)) {
      return Step.of(state);
    }
    Optional<AdapterReference> wanted = selectAdapter(engine, time);
    if (wanted.isEmpty() || engine.isLeaving()) {
      return state
          .with(engine.withOrders(engine.orders().withPermit(Optional.empty())))
          .step(returnPermit(engine));
    }
    if (!rights.mayLoad(engine, state.rightsSnapshot(), time)) {
      return Step.of(state);
    }
    return engine.isFull()
        ? freeSlot(state, engine, wanted.get(), time)
        : withPermit(state, engine, wanted.get(), time, this::load);
  }

  /**
   * Uses a permit for the engine that requested it; a permit that no engine waits for is returned.
   */
  Step<OwnershipState, EngineEffect> handleGrant(
      OwnershipState state, HostName issuer, PermitGrant grant, MonotonicTime time) {
    if (!grant.requester().equals(state.rightsSnapshot().incarnation())) {
      return Step.of(state);
    }
    for (OwnedEngine engine : state.owned().values()) {
      Optional<EngineOrderState.Permit> permit = engine.orders().permit();
      if (permit.isPresent() && permit.get().number() == grant.number()) {
        EngineOrderState granted =
            engine.orders().withPermit(permit.map(EngineOrderState.Permit::asGranted));
        return advance(state.with(engine.withOrders(granted)), engine.name(), time);
      }
    }
    return Step.of(state, new EngineEffect.Send(issuer, new PermitReturn(grant.number(), false)));
  }

  /** Handles the completion of the pending order; any other order number is ignored. */
  Step<OwnershipState, EngineEffect> complete(
      OwnershipState state, EngineEvent.OrderCompleted completed, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(completed.engine());
    if (engine == null) {
      return Step.of(state);
    }
    Optional<EngineOrderState.Order> order =
        engine.orders().pending().filter(pending -> pending.number() == completed.orderNumber());
    return order.isEmpty()
        ? Step.of(state)
        : orderCompletion
            .complete(state, engine, order.get(), completed.outcome(), time)
            .andThen(next -> pins.grantWaiters(next, completed.engine(), time))
            .andThen(next -> advance(next, completed.engine(), time));
  }

  /** Completes an overdue order as unknown and starts a state read if one is due. */
  Step<OwnershipState, EngineEffect> expireAndRead(
      OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    Optional<EngineOrderState.Order> overdue =
        engine
            .orders()
            .pending()
            .filter(order -> !time.isBefore(order.sentAt().plus(settings.orderTimeout())));
    Step<OwnershipState, EngineEffect> step =
        overdue.isEmpty()
            ? Step.of(state)
            : orderCompletion.complete(state, engine, overdue.get(), OrderOutcome.UNKNOWN, time);
    return step.andThen(next -> readIfDue(next, next.owned().get(name), time));
  }

  /** Returns the effects that return an engine's unused permit to its issuer. */
  List<EngineEffect> returnPermit(OwnedEngine engine) {
    return engine
        .orders()
        .permit()
        .<List<EngineEffect>>map(
            permit ->
                List.of(
                    new EngineEffect.Send(
                        permit.issuer(), new PermitReturn(permit.number(), false))))
        .orElse(List.of());
  }

  private Step<OwnershipState, EngineEffect> readIfDue(
      OwnershipState state, OwnedEngine engine, MonotonicTime time) {
    EngineOrderState orders = engine.orders();
    boolean reading =
        orders.readingSince().isPresent()
            && time.isBefore(orders.readingSince().get().plus(READ_TIMEOUT));
    boolean recent = engine.residency().isReadSince(time.minus(settings.readInterval()));
    boolean due = orders.unknownSince().isPresent() || !recent;
    if (reading || !due) {
      return Step.of(state);
    }
    return Step.of(
        state.with(engine.withOrders(orders.withReadStarted(time))),
        new EngineEffect.ReadEngine(engine.name()));
  }

  /** Returns the loadable adapter with the greatest weight; empty if no load is due. */
  private static Optional<AdapterReference> selectAdapter(OwnedEngine engine, MonotonicTime time) {
    AdapterReference best = null;
    long bestWeight = 0;
    for (Map.Entry<AdapterReference, Demand> entry : engine.demands().entrySet()) {
      AdapterReference adapter = entry.getKey();
      boolean loadable =
          entry.getValue().isLoadDue(time)
              && !engine.residency().resident().contains(adapter)
              && !engine.residency().isQuarantined(adapter);
      long weight = entry.getValue().weight(time);
      boolean preferred =
          weight > bestWeight
              || (weight == bestWeight && best != null && adapter.compareTo(best) < 0);
      if (loadable && preferred) {
        best = adapter;
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Emits an order that requires a permit. */
  @FunctionalInterface
  private interface PermittedOrder {
    Step<OwnershipState, EngineEffect> issue(
        OwnershipState state,
        OwnedEngine engine,
        AdapterReference adapter,
        EngineOrderState.Permit permit,
        MonotonicTime time);
  }

  /**
   * Emits an order if its permit is granted and still usable. Otherwise requests a permit, or
   * repeats a request that is due for a refresh.
   */
  private Step<OwnershipState, EngineEffect> withPermit(
      OwnershipState state,
      OwnedEngine engine,
      AdapterReference adapter,
      MonotonicTime time,
      PermittedOrder order) {
    Optional<EngineOrderState.Permit> permit = engine.orders().permit();
    if (permit.isEmpty()) {
      return requestPermit(state, engine, adapter, state.nextNumber(), time);
    }
    Duration age = time.since(permit.get().requestedAt());
    if (permit.get().granted()) {
      Duration usable = settings.permitStartWindow().minus(settings.clockMargin());
      return age.compareTo(usable) < 0
          ? order.issue(state, engine, adapter, permit.get(), time)
          : requestPermit(state, engine, adapter, state.nextNumber(), time)
              .with(returnPermit(engine));
    }
    Duration refresh = settings.permitStartWindow().dividedBy(PERMIT_REFRESHES_PER_START_WINDOW);
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
    Optional<HostName> issuer = state.permitIssuerHost();
    if (issuer.isEmpty()) {
      return Step.of(state);
    }
    long number = state.nextNumber();
    int weight = engine.demand(adapter, time).weight(time);
    EngineOrderState.Permit permit = new EngineOrderState.Permit(issuer.get(), number, time, false);
    return Step.of(
        state
            .withNextNumber(number + 1)
            .with(engine.withOrders(engine.orders().withPermit(Optional.of(permit)))),
        new EngineEffect.Send(issuer.get(), new PermitRequest(number, replaces, weight)));
  }

  private Step<OwnershipState, EngineEffect> load(
      OwnershipState state,
      OwnedEngine engine,
      AdapterReference adapter,
      EngineOrderState.Permit permit,
      MonotonicTime time) {
    long number = state.nextNumber();
    EngineOrderState.Order order =
        new EngineOrderState.Order(number, true, adapter, time, Optional.of(permit));
    return Step.of(
        state
            .withNextNumber(number + 1)
            .with(engine.withOrders(engine.orders().withPending(order))),
        new EngineEffect.LoadAdapter(
            engine.name(), number, adapter, fencingNumber(state, engine), time.plus(WRITE_WINDOW)));
  }

  /**
   * Evicts an adapter once the permit for the load that follows is granted, or reclaims a slot if
   * no adapter may be evicted.
   */
  private Step<OwnershipState, EngineEffect> freeSlot(
      OwnershipState state, OwnedEngine engine, AdapterReference wanted, MonotonicTime time) {
    Optional<EvictionPolicy.Candidate> victim = slotReclaimer.evictable(state, engine, time);
    return victim.isPresent()
        ? withPermit(
            state,
            engine,
            wanted,
            time,
            (current, owned, ignored, permit, now) ->
                unload(current, owned, victim.get().adapter(), now))
        : slotReclaimer.recallOrRefuse(state, engine, wanted, time);
  }

  /**
   * Emits an unload; from now on the adapter is not resident, so that no pins are granted on it.
   */
  private Step<OwnershipState, EngineEffect> unload(
      OwnershipState state, OwnedEngine engine, AdapterReference victim, MonotonicTime time) {
    long number = state.nextNumber();
    EngineOrderState.Order order =
        new EngineOrderState.Order(number, false, victim, time, Optional.empty());
    return Step.of(
        state
            .withNextNumber(number + 1)
            .with(
                engine
                    .withResidency(engine.residency().without(victim, time))
                    .withOrders(engine.orders().withPending(order))),
        new EngineEffect.UnloadAdapter(
            engine.name(), number, victim, fencingNumber(state, engine), time.plus(WRITE_WINDOW)));
  }

  private static long fencingNumber(OwnershipState state, OwnedEngine engine) {
    return FencingNumber.of(state.rightsSnapshot(), engine.orders().fencingRetries());
  }
}
