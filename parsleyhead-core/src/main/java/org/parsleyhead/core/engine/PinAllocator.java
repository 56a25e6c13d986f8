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
 * Grants, refuses and releases pins on owned engines.
 *
 * <p>Immutable and thread-safe. A pin is granted only under the exclusive right, on an adapter that
 * a recent report shows as resident, and while its slot is not being reclaimed.
 */
final class PinAllocator {

  private static final Duration UNCERTAIN_OWNERSHIP_RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration NOT_OWNER_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration NO_SLOT_RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAXIMUM_REPORT_AGE_IN_READ_INTERVALS = 4;

  private final OwnershipSettings settings;
  private final OwnershipRights rights;

  PinAllocator(OwnershipSettings settings, OwnershipRights rights) {
    this.settings = settings;
    this.rights = rights;
  }

  /** Handles a request: grants or refuses each pin, or queues the host until a load completes. */
  Step<OwnershipState, EngineEffect> request(
      OwnershipState state, Sender sender, PinRequest request, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(request.engine());
    if (engine == null) {
      return state.step(
          refuseAll(sender, request, PinRefusal.Reason.NOT_OWNER, NOT_OWNER_RETRY_DELAY));
    }
    if (engine.isLeaving()) {
      return state.step(refuseAll(sender, request, PinRefusal.Reason.LEAVING, NO_SLOT_RETRY_DELAY));
    }
    OwnedEngine current =
        engine.withHintRecipients(engine.hintRecipients().plus(sender.host(), time));
    List<EngineEffect> effects = new ArrayList<>();
    List<AdapterReference> granted = new ArrayList<>();
    for (PinDemand demand : request.demands()) {
      current = recordUses(current, demand, time);
      AdapterReference adapter = demand.adapter();
      Optional<PinRefusal> refusal = findRefusal(state, current, sender, request, adapter, time);
      if (refusal.isPresent()) {
        effects.add(new EngineEffect.Send(sender.host(), refusal.get()));
      } else if (isGrantable(state, current, adapter, time)) {
        granted.add(adapter);
        current = grant(current, adapter, sender, request.number(), time);
      } else {
        current = enqueue(current, demand, sender, request.number(), time);
      }
    }
    if (!granted.isEmpty()) {
      effects.add(sendGrant(request.engine(), sender, request.number(), granted));
    }
    return state.with(current).step(effects);
  }

  /**
   * Releases pins and withdraws the requests that the release covers. An engine that was found
   * without the adapters is read before the next order.
   */
  Step<OwnershipState, EngineEffect> release(
      OwnershipState state, Sender sender, PinRelease release, MonotonicTime time) {
    OwnedEngine engine = state.owned().get(release.engine());
    if (engine == null) {
      return Step.of(state);
    }
    PinTable pins = engine.pins();
    PMap<AdapterReference, Demand> demands = engine.demands();
    Residency residency = engine.residency();
    PMap<AdapterReference, DecayedCount> uses = engine.uses();
    for (AdapterReference adapter : release.adapters()) {
      pins = pins.release(adapter, sender, release.throughNumber(), time);
      demands = withdrawWaiter(demands, adapter, sender, release.throughNumber());
      uses = addUses(uses, adapter, release.startedRequests(), time);
      residency = release.missing() ? residency.without(adapter, time) : residency;
    }
    EngineOrderState orders =
        release.missing() ? engine.orders().withUnknownState(time) : engine.orders();
    return Step.of(
        state.with(
            engine
                .withPins(pins)
                .withDemands(demands)
                .withUses(uses)
                .withResidency(residency)
                .withOrders(orders)));
  }

  /** Grants pins to the hosts that wait for adapters that are resident now. */
  Step<OwnershipState, EngineEffect> grantWaiters(
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
        long number = waiter.getValue().requestNumber();
        current = grant(current, adapter, waiter.getKey(), number, time);
        effects.add(sendGrant(name, waiter.getKey(), number, List.of(adapter)));
      }
      current = current.withDemands(current.demands().minus(adapter));
    }
    return state.with(current).step(effects);
  }

  /** Returns the refusals for all hosts that wait for an adapter. */
  List<EngineEffect> refuseWaiters(
      OwnedEngine engine,
      AdapterReference adapter,
      PinRefusal.Reason reason,
      Duration retryAfter,
      MonotonicTime time) {
    List<EngineEffect> effects = new ArrayList<>();
    for (var waiter : engine.demand(adapter, time).waiters().entrySet()) {
      effects.add(
          sendRefusal(
              engine.name(),
              waiter.getKey(),
              waiter.getValue().requestNumber(),
              adapter,
              reason,
              retryAfter));
    }
    return effects;
  }

  /**
   * Returns whether the last report of an engine is recent enough to grant pins and emit orders.
   */
  boolean hasFreshReport(OwnedEngine engine, MonotonicTime time) {
    Duration oldest = settings.readInterval().multipliedBy(MAXIMUM_REPORT_AGE_IN_READ_INTERVALS);
    return engine.residency().isReadSince(time.minus(oldest));
  }

  private boolean isGrantable(
      OwnershipState state, OwnedEngine engine, AdapterReference adapter, MonotonicTime time) {
    return engine.residency().isUsable(adapter)
        && !engine.isLeaving()
        && !engine.isRecalled(adapter, time)
        && hasFreshReport(engine, time)
        && rights.mayGrant(engine, state.rightsSnapshot(), time);
  }

  private Optional<PinRefusal> findRefusal(
      OwnershipState state,
      OwnedEngine engine,
      Sender sender,
      PinRequest request,
      AdapterReference adapter,
      MonotonicTime time) {
    Demand demand = engine.demand(adapter, time);
    boolean mayGrant = rights.mayGrant(engine, state.rightsSnapshot(), time);
    boolean mayLoad = rights.mayLoad(engine, state.rightsSnapshot(), time);
    if (!mayGrant && (!mayLoad || engine.residency().isUsable(adapter))) {
      return Optional.of(
          newRefusal(
              request,
              sender,
              adapter,
              PinRefusal.Reason.OWNERSHIP_UNCERTAIN,
              UNCERTAIN_OWNERSHIP_RETRY_DELAY));
    }
    if (engine.isRecalled(adapter, time) || engine.residency().isQuarantined(adapter)) {
      return Optional.of(
          newRefusal(request, sender, adapter, PinRefusal.Reason.NO_SLOT, NO_SLOT_RETRY_DELAY));
    }
    if (time.isBefore(demand.notBefore()) && !engine.residency().isUsable(adapter)) {
      Duration wait = demand.notBefore().since(time);
      return Optional.of(newRefusal(request, sender, adapter, PinRefusal.Reason.LOAD_FAILED, wait));
    }
    return Optional.empty();
  }

  private OwnedEngine recordUses(OwnedEngine engine, PinDemand demand, MonotonicTime time) {
    return engine.withUses(
        addUses(engine.uses(), demand.adapter(), demand.startedRequests(), time));
  }

  private PMap<AdapterReference, DecayedCount> addUses(
      PMap<AdapterReference, DecayedCount> uses,
      AdapterReference adapter,
      int startedRequests,
      MonotonicTime time) {
    if (startedRequests == 0) {
      return uses;
    }
    DecayedCount known = uses.get(adapter);
    return uses.plus(
        adapter,
        known == null
            ? DecayedCount.first(startedRequests, time)
            : known.plus(startedRequests, time, settings.reuseHalfLife()));
  }

  private OwnedEngine grant(
      OwnedEngine engine,
      AdapterReference adapter,
      Sender holder,
      long number,
      MonotonicTime time) {
    MonotonicTime expiresAt = time.plus(settings.pinLifetime());
    return engine.withPins(engine.pins().grant(adapter, holder, number, expiresAt));
  }

  private static OwnedEngine enqueue(
      OwnedEngine engine, PinDemand demand, Sender sender, long number, MonotonicTime time) {
    Demand waiting =
        engine
            .demand(demand.adapter(), time)
            .withWaiter(sender, new Demand.Waiter(number, time, demand));
    return engine.withDemands(engine.demands().plus(demand.adapter(), waiting));
  }

  private static PMap<AdapterReference, Demand> withdrawWaiter(
      PMap<AdapterReference, Demand> demands,
      AdapterReference adapter,
      Sender sender,
      long throughNumber) {
    Demand demand = demands.get(adapter);
    if (demand == null) {
      return demands;
    }
    Demand.Waiter waiter = demand.waiters().get(sender);
    return waiter == null || waiter.requestNumber() > throughNumber
        ? demands
        : demands.plus(adapter, demand.withoutWaiter(sender));
  }

  private EngineEffect sendGrant(
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
          sendRefusal(
              request.engine(), sender, request.number(), demand.adapter(), reason, retryAfter));
    }
    return effects;
  }

  private static PinRefusal newRefusal(
      PinRequest request,
      Sender sender,
      AdapterReference adapter,
      PinRefusal.Reason reason,
      Duration retryAfter) {
    return new PinRefusal(
        request.engine(), sender.incarnation(), request.number(), adapter, reason, retryAfter);
  }

  private static EngineEffect sendRefusal(
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
