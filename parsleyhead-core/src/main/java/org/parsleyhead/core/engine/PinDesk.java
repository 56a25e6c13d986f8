package org.parsleyhead.core.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Sender;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.PMap;

/**
 * Answers pin requests on owned engines.
 *
 * <p>Immutable and thread-safe. A pin is granted only on an adapter that the engine is known to
 * hold, under the exclusive right, and while nothing is being done to free its slot.
 */
final class PinDesk {

  private static final Duration RETRY_IN_DOUBT = Duration.ofMillis(500);
  private static final Duration RETRY_NOT_OWNER = Duration.ofMillis(200);
  private static final Duration RETRY_NO_SLOT = Duration.ofSeconds(1);
  private static final Duration WAITER_LIFETIME = Duration.ofSeconds(4);
  private static final Duration LISTENER_LIFETIME = Duration.ofSeconds(60);
  private static final double SMALLEST_REUSE = 0.01;
  private static final int FRESH_READ_INTERVALS = 4;

  private final OwnershipSettings settings;
  private final OwnershipRights rights;

  PinDesk(OwnershipSettings settings, OwnershipRights rights) {
    this.settings = settings;
    this.rights = rights;
  }

  /** Answers a request: grants, refuses, or keeps the host waiting for a load. */
  Step<OwnershipState, EngineEffect> request(
      OwnershipState state, Sender sender, PinRequest request, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(request.engine());
    if (engine == null) {
      return state.step(refuseAll(sender, request, PinRefusal.Reason.NOT_OWNER, RETRY_NOT_OWNER));
    }
    if (engine.isLeaving()) {
      return state.step(refuseAll(sender, request, PinRefusal.Reason.LEAVING, RETRY_NO_SLOT));
    }
    OwnedEngine current = engine.withListeners(engine.listeners().plus(sender.host(), time));
    List<EngineEffect> effects = new ArrayList<>();
    List<AdapterReference> granted = new ArrayList<>();
    for (PinDemand demand : request.demands()) {
      current = countUse(current, demand, time);
      AdapterReference adapter = demand.adapter();
      Optional<PinRefusal> refusal = refusal(state, current, sender, request, adapter, time);
      if (refusal.isPresent()) {
        effects.add(new EngineEffect.Send(sender.host(), refusal.get()));
      } else if (isGrantable(state, current, adapter, time)) {
        granted.add(adapter);
        current = grant(current, adapter, sender, request.number(), time);
      } else {
        current = await(current, demand, sender, request.number(), time);
      }
    }
    if (!granted.isEmpty()) {
      effects.add(grantEffect(request.engine(), sender, request.number(), granted));
    }
    return state.with(current).step(effects);
  }

  /** Takes pins back; an engine that lost adapters is read before the next order. */
  Step<OwnershipState, EngineEffect> release(
      OwnershipState state, Sender sender, PinRelease release, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(release.engine());
    if (engine == null) {
      return Step.of(state);
    }
    PinTable pins = engine.pins();
    PMap<AdapterReference, Demand> demands = engine.demands();
    Residency residency = engine.residency();
    PMap<AdapterReference, DecayedRate> uses = engine.uses();
    for (AdapterReference adapter : release.adapters()) {
      pins = pins.release(adapter, sender, release.throughNumber(), time);
      demands = withdraw(demands, adapter, sender, release.throughNumber());
      uses = counted(uses, adapter, release.starts(), time);
      residency = release.missing() ? residency.without(adapter, time) : residency;
    }
    OrderBook orders = release.missing() ? engine.orders().doubted(time) : engine.orders();
    return Step.of(
        state.with(
            engine
                .withPins(pins)
                .withDemands(demands)
                .withUses(uses)
                .withResidency(residency)
                .withOrders(orders)));
  }

  /** Grants pins to the hosts that waited for adapters that are now resident. */
  Step<OwnershipState, EngineEffect> answerWaiters(
      OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    if (engine == null) {
      return Step.of(state);
    }
    List<EngineEffect> effects = new ArrayList<>();
    OwnedEngine current = engine;
    for (Map.Entry<AdapterReference, Demand> entry : engine.demands().entrySet()) {
      AdapterReference adapter = entry.getKey();
      if (entry.getValue().waiters().isEmpty() || !isGrantable(state, current, adapter, time)) {
        continue;
      }
      for (var waiter : entry.getValue().waiters().entrySet()) {
        long number = waiter.getValue().number();
        current = grant(current, adapter, waiter.getKey(), number, time);
        effects.add(grantEffect(name, waiter.getKey(), number, List.of(adapter)));
      }
      current = current.withDemands(current.demands().minus(adapter));
    }
    return state.with(current).step(effects);
  }

  /** Forgets what has ended: pins, waiters, recalls, listeners and old uses. */
  OwnershipState expire(OwnershipState state, UpstreamName name, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(name);
    PinTable pins = engine.pins().expire(time).forgetBefore(time.minus(settings.pinCounted()));
    OwnedEngine current = engine.withPins(pins).withResidency(engine.residency().expire(time));
    PMap<AdapterReference, Demand> demands = current.demands();
    for (var entry : current.demands().entrySet()) {
      Demand kept = entry.getValue().retainSince(time.minus(WAITER_LIFETIME));
      demands =
          kept.isForgettable(time, settings.longestBackoff())
              ? demands.minus(entry.getKey())
              : demands.plus(entry.getKey(), kept);
    }
    PMap<AdapterReference, DecayedRate> uses = current.uses();
    for (var entry : current.uses().entrySet()) {
      if (entry.getValue().valueAt(time, settings.reuseHalfLife()) < SMALLEST_REUSE) {
        uses = uses.minus(entry.getKey());
      }
    }
    var recalled = current.recalledUntil();
    for (var entry : current.recalledUntil().entrySet()) {
      recalled = time.isBefore(entry.getValue()) ? recalled : recalled.minus(entry.getKey());
    }
    var listeners = current.listeners();
    for (var entry : current.listeners().entrySet()) {
      boolean heard = time.isBefore(entry.getValue().plus(LISTENER_LIFETIME));
      listeners = heard ? listeners : listeners.minus(entry.getKey());
    }
    return state.with(
        current
            .withDemands(demands)
            .withUses(uses)
            .withRecalled(recalled)
            .withListeners(listeners));
  }

  /** Refuses all hosts that wait for an adapter. */
  List<EngineEffect> refuseWaiters(
      OwnedEngine engine,
      AdapterReference adapter,
      PinRefusal.Reason reason,
      Duration retryAfter,
      MonotonicTime time) {
    List<EngineEffect> effects = new ArrayList<>();
    for (var waiter : engine.demand(adapter, time).waiters().entrySet()) {
      effects.add(
          refuse(
              engine.name(),
              waiter.getKey(),
              waiter.getValue().number(),
              adapter,
              reason,
              retryAfter));
    }
    return effects;
  }

  /** Tells whether the engine was read lately. */
  boolean isKnown(OwnedEngine engine, MonotonicTime time) {
    Duration oldest = settings.readInterval().multipliedBy(FRESH_READ_INTERVALS);
    return engine.residency().isReadSince(time.minus(oldest));
  }

  private boolean isGrantable(
      OwnershipState state, OwnedEngine engine, AdapterReference adapter, MonotonicTime time) {
    return engine.residency().isUsable(adapter)
        && !engine.isLeaving()
        && !engine.isRecalled(adapter, time)
        && isKnown(engine, time)
        && rights.mayGrant(engine, state.standing(), time);
  }

  private Optional<PinRefusal> refusal(
      OwnershipState state,
      OwnedEngine engine,
      Sender sender,
      PinRequest request,
      AdapterReference adapter,
      MonotonicTime time) {
    Demand demand = engine.demand(adapter, time);
    boolean mayGrant = rights.mayGrant(engine, state.standing(), time);
    boolean mayLoad = rights.mayLoad(engine, state.standing(), time);
    if (!mayGrant && (!mayLoad || engine.residency().isUsable(adapter))) {
      return Optional.of(
          message(request, sender, adapter, PinRefusal.Reason.IN_DOUBT, RETRY_IN_DOUBT));
    }
    if (engine.isRecalled(adapter, time) || engine.residency().isQuarantined(adapter)) {
      return Optional.of(
          message(request, sender, adapter, PinRefusal.Reason.NO_SLOT, RETRY_NO_SLOT));
    }
    if (time.isBefore(demand.notBefore()) && !engine.residency().isUsable(adapter)) {
      Duration wait = demand.notBefore().since(time);
      return Optional.of(message(request, sender, adapter, PinRefusal.Reason.LOAD_FAILED, wait));
    }
    return Optional.empty();
  }

  private OwnedEngine countUse(OwnedEngine engine, PinDemand demand, MonotonicTime time) {
    return engine.withUses(counted(engine.uses(), demand.adapter(), demand.starts(), time));
  }

  private PMap<AdapterReference, DecayedRate> counted(
      PMap<AdapterReference, DecayedRate> uses,
      AdapterReference adapter,
      int starts,
      MonotonicTime time) {
    if (starts == 0) {
      return uses;
    }
    DecayedRate known = uses.get(adapter);
    return uses.plus(
        adapter,
        known == null
            ? DecayedRate.first(starts, time)
            : known.plus(starts, time, settings.reuseHalfLife()));
  }

  private OwnedEngine grant(
      OwnedEngine engine,
      AdapterReference adapter,
      Sender holder,
      long number,
      MonotonicTime time) {
    MonotonicTime until = time.plus(settings.pinCounted());
    return engine.withPins(engine.pins().grant(adapter, holder, number, until));
  }

  private static OwnedEngine await(
      OwnedEngine engine, PinDemand demand, Sender sender, long number, MonotonicTime time) {
    Demand waiting =
        engine.demand(demand.adapter(), time).plus(sender, new Demand.Waiter(number, time, demand));
    return engine.withDemands(engine.demands().plus(demand.adapter(), waiting));
  }

  private static PMap<AdapterReference, Demand> withdraw(
      PMap<AdapterReference, Demand> demands,
      AdapterReference adapter,
      Sender sender,
      long throughNumber) {
    Demand demand = demands.get(adapter);
    if (demand == null) {
      return demands;
    }
    Demand.Waiter waiter = demand.waiters().get(sender);
    return waiter == null || waiter.number() > throughNumber
        ? demands
        : demands.plus(adapter, demand.without(sender));
  }

  private EngineEffect grantEffect(
      UpstreamName engine, Sender holder, long number, List<AdapterReference> adapters) {
    return new EngineEffect.Send(
        holder.host(),
        new PinGrant(engine, holder.incarnation(), number, adapters, settings.pinDuration()));
  }

  private static List<EngineEffect> refuseAll(
      Sender sender, PinRequest request, PinRefusal.Reason reason, Duration retryAfter) {
    List<EngineEffect> effects = new ArrayList<>();
    for (PinDemand demand : request.demands()) {
      effects.add(
          refuse(request.engine(), sender, request.number(), demand.adapter(), reason, retryAfter));
    }
    return effects;
  }

  private static PinRefusal message(
      PinRequest request,
      Sender sender,
      AdapterReference adapter,
      PinRefusal.Reason reason,
      Duration retryAfter) {
    return new PinRefusal(
        request.engine(), sender.incarnation(), request.number(), adapter, reason, retryAfter);
  }

  private static EngineEffect refuse(
      UpstreamName engine,
      Sender sender,
      long number,
      AdapterReference adapter,
      PinRefusal.Reason reason,
      Duration retryAfter) {
    return new EngineEffect.Send(
        sender.host(),
        new PinRefusal(engine, sender.incarnation(), number, adapter, reason, retryAfter));
  }
}
