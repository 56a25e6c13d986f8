package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterReport;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.overload.RankOrder;
import org.parsleyhead.core.serving.EngineProfile;
import org.pcollections.HashTreePMap;

/**
 * Schedules load and unload orders to the model servers whose lease this host holds.
 *
 * <p>Immutable and thread-safe. An adapter is not unloaded while the last report of any host shows
 * requests that use it. Loads never exceed the adapter slots of a server.
 */
final class EngineOrderScheduler {

  private static final int HTTP_OK = 200;
  private static final int HTTP_ACCEPTED = 202;

  /** Maximum number of adapters that one server loads at a time. */
  private static final int MAXIMUM_CONCURRENT_LOADS = 4;

  /** Maximum number of queued loads per server; further ones would not complete in time. */
  private static final int MAXIMUM_PENDING_LOADS = 16;

  /** How long a load waits for a slot before it is refused, so that another server is tried. */
  private static final Duration SLOT_WAIT_TIMEOUT = Duration.ofMillis(120);

  /** Added to the expected duration of a load so that requests do not arrive too early. */
  private static final Duration LOAD_TIME_MARGIN = Duration.ofMillis(20);

  /**
   * Remaining load time reported for an adapter that is requested although its expected ready time
   * has passed.
   */
  private static final Duration OVERDUE_LOAD_DELAY = Duration.ofMillis(60);

  private final FleetSettings settings;
  private final Leases leases;
  private final PendingLoads pendingLoads;

  EngineOrderScheduler(FleetSettings settings, Leases leases, RankOrder order) {
    this.settings = settings;
    this.leases = leases;
    this.pendingLoads = new PendingLoads(order);
  }

  Step<FleetState, FleetEffect> loadRequested(
      FleetState state, LoadRequest request, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(request.instance());
    if (engine == null) {
      return Step.of(
          state, refuse(request.endpoint(), request.instance(), request.adapter(), "not_owner"));
    }
    AdapterSlot slot = engine.slots().get(request.adapter());
    if (slot != null && state.versions().current(request.adapter(), slot.version())) {
      FleetState used =
          state.withEngine(
              request.instance(), engine.withSlot(request.adapter(), slot.withUsedAt(time)));
      return Step.of(
          used, answer(request.endpoint(), request.instance(), request.adapter(), slot, time));
    }
    Optional<PendingLoad> known = engine.findPending(request.adapter());
    OwnedEngine next =
        known.isPresent()
            ? engine.withPending(
                engine
                    .pending()
                    .with(
                        engine.pending().indexOf(known.get()),
                        pendingLoads.merged(known.get(), request, time)))
            : engine.withPending(engine.pending().plus(PendingLoad.of(request, time)));
    return bounded(state, request.instance(), next, time)
        .andThen(bounded -> advance(bounded, request.instance(), time));
  }

  /**
   * Stores a server; refuses the pending load with the latest turn if there are too many. The load
   * whose order is in flight is kept, since it cannot be taken back.
   */
  private Step<FleetState, FleetEffect> bounded(
      FleetState state, String instance, OwnedEngine engine, MonotonicTime time) {
    if (engine.pending().size() <= MAXIMUM_PENDING_LOADS) {
      return Step.of(state.withEngine(instance, engine));
    }
    List<PendingLoad> unordered =
        engine.pending().stream()
            .filter(
                load ->
                    engine.inFlight().isEmpty()
                        || !engine.inFlight().get().adapter().equals(load.adapter()))
            .toList();
    PendingLoad last = pendingLoads.last(unordered, time);
    return refuseLoads(state, instance, engine, List.of(last), "queue_full")
        .with(List.of(pendingLoads.dropped(instance, last, time)));
  }

  Step<FleetState, FleetEffect> orderAnswered(
      FleetState state, FleetEvent.OrderAnswered answered, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(answered.instance());
    if (engine == null
        || engine.inFlight().isEmpty()
        || engine.inFlight().get().number() != answered.orderNumber()) {
      return Step.of(state);
    }
    OrderInFlight order = engine.inFlight().get();
    boolean accepted = answered.status() == HTTP_OK || answered.status() == HTTP_ACCEPTED;
    if (!accepted || order.kind() == FleetEffect.OrderKind.UNLOAD && answered.status() != HTTP_OK) {
      return stateUnknown(state, answered.instance(), engine, "status=" + answered.status(), time);
    }
    if (order.adapter().baseModel()) {
      return Step.of(
          state.withEngine(
              answered.instance(), engine.withUnknownState(time.plus(settings.reportLag()))));
    }
    if (order.kind() == FleetEffect.OrderKind.UNLOAD) {
      OwnedEngine next = engine.withUnloaded(order.adapter(), time);
      return advance(state.withEngine(answered.instance(), next), answered.instance(), time);
    }
    return loadAccepted(state, answered.instance(), engine, order, time);
  }

  Step<FleetState, FleetEffect> reportRead(
      FleetState state, FleetEvent.ReportRead report, MonotonicTime time) {
    String instance = report.report().instance();
    OwnedEngine engine = state.engines().get(instance);
    if (engine == null || engine.reported()) {
      return Step.of(state);
    }
    if (report.busy() || ofFormerRun(state, report.report())) {
      return Step.of(
          state.withEngine(instance, engine.withUnknownState(time.plus(settings.reportLag()))));
    }
    OwnedEngine next = engine.withReport(report, time.plus(settings.coldLoadDuration()), time);
    return advance(state.withEngine(instance, next), instance, time);
  }

  /** Returns whether a report tells about a run of the server before the announced one. */
  private static boolean ofFormerRun(FleetState state, AdapterReport report) {
    Instance announced = state.instances().get(report.instance());
    return announced != null && report.startedAtMilliseconds() < announced.startedAtMilliseconds();
  }

  Step<FleetState, FleetEffect> reportFailed(
      FleetState state, FleetEvent.ReportFailed failed, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(failed.instance());
    if (engine == null || engine.reported()) {
      return Step.of(state);
    }
    return refusePending(
        state,
        failed.instance(),
        engine.withUnknownState(time.plus(settings.reportLag())),
        "no_report");
  }

  /**
   * Refuses all pending loads and releases all leases permanently, because this process is about to
   * stop.
   */
  Step<FleetState, FleetEffect> releaseAll(FleetState state) {
    Step<FleetState, FleetEffect> step = Step.of(state);
    for (Map.Entry<String, OwnedEngine> engine : state.engines().entrySet()) {
      step =
          step.andThen(
              next -> refusePending(next, engine.getKey(), engine.getValue(), "owner_leaves"));
    }
    return step.andThen(
        next -> Step.of(next.withEngines(HashTreePMap.empty()).withLeases(HashTreePMap.empty())));
  }

  /**
   * Requests due reports, applies timeouts, and sends the next order to each server that can accept
   * one.
   */
  Step<FleetState, FleetEffect> tick(FleetState state, MonotonicTime time) {
    Step<FleetState, FleetEffect> step = Step.of(state);
    for (String instance : state.engines().keySet()) {
      step = step.andThen(next -> tickOne(next, instance, time));
    }
    return step;
  }

  private Step<FleetState, FleetEffect> tickOne(
      FleetState state, String instance, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(instance);
    Instance target = state.instances().get(instance);
    if (engine == null || target == null) {
      return Step.of(state.withEngines(state.engines().minus(instance)));
    }
    if (engine.inFlight().isPresent()
        && time.since(engine.inFlight().get().sentAt()).compareTo(settings.orderTimeout()) > 0) {
      return stateUnknown(state, instance, engine, "no_answer", time);
    }
    boolean reportDue =
        !engine.reported()
            && engine.reportStatus().nextRequestAt().isPresent()
            && !time.isBefore(engine.reportStatus().nextRequestAt().get());
    if (reportDue) {
      OwnedEngine next =
          engine.withReportRequested(time.plus(settings.orderTimeout()).plus(settings.reportLag()));
      return Step.of(state.withEngine(instance, next), new FleetEffect.RequestReport(target));
    }
    return advance(state, instance, time);
  }

  private Step<FleetState, FleetEffect> loadAccepted(
      FleetState state,
      String instance,
      OwnedEngine engine,
      OrderInFlight order,
      MonotonicTime time) {
    Duration expected =
        engine.unloadedAt().containsKey(order.adapter())
            ? settings.warmLoadDuration()
            : settings.coldLoadDuration();
    AdapterSlot slot =
        new AdapterSlot(
            state.versions().of(order.adapter()),
            order.sentAt(),
            order.sentAt().plus(expected).plus(LOAD_TIME_MARGIN),
            time);
    Optional<PendingLoad> pending = engine.findPending(order.adapter());
    OwnedEngine next = engine.withLoaded(order.adapter(), slot, time);
    List<FleetEffect> effects = new ArrayList<>();
    if (pending.isPresent()) {
      next = next.withPending(next.pending().minus(pending.get()));
      for (String requester : pending.get().requesters()) {
        effects.add(answer(requester, instance, order.adapter(), slot, time));
      }
    }
    return new Step<FleetState, FleetEffect>(state.withEngine(instance, next), effects)
        .andThen(accepted -> advance(accepted, instance, time));
  }

  private Step<FleetState, FleetEffect> advance(
      FleetState state, String instance, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(instance);
    Instance target = state.instances().get(instance);
    boolean ready =
        engine != null && target != null && engine.reported() && engine.inFlight().isEmpty();
    Optional<EngineProfile> profile = target == null ? Optional.empty() : state.profile(target);
    if (!ready || profile.isEmpty()) {
      return Step.of(state);
    }
    if (!time.isBefore(leases.heldUntil(state, instance))) {
      return refusePending(state, instance, engine, "no_lease");
    }
    Optional<String> model =
        target.draining() ? Optional.empty() : missingModel(profile.get(), engine);
    if (model.isPresent()) {
      return order(
          state, target, engine, FleetEffect.OrderKind.LOAD, new AdapterKey(model.get(), ""), time);
    }
    return engine.pending().isEmpty()
        ? Step.of(state)
        : nextLoad(state, target, engine, profile.get(), time);
  }

  /**
   * Returns the first base model that fits into memory with all adapter slots; empty if the server
   * already holds a model.
   */
  private static Optional<String> missingModel(EngineProfile profile, OwnedEngine engine) {
    if (!engine.models().isEmpty()) {
      return Optional.empty();
    }
    return profile.models().stream()
        .filter(
            model ->
                model.megabytes() + model.adapterMegabytes() * profile.adapterSlots()
                    <= profile.memoryMegabytes())
        .map(EngineProfile.BaseModel::name)
        .findFirst();
  }

  private Step<FleetState, FleetEffect> nextLoad(
      FleetState state,
      Instance target,
      OwnedEngine engine,
      EngineProfile profile,
      MonotonicTime time) {
    String instance = target.identifier();
    PendingLoad first = pendingLoads.first(engine.pending(), time);
    long loading =
        engine.slots().values().stream().filter(slot -> time.isBefore(slot.readyAt())).count();
    boolean replaces = engine.slots().containsKey(first.adapter());
    boolean full = !replaces && engine.slots().size() >= profile.adapterSlots();
    Optional<AdapterKey> evicted =
        full ? SlotEviction.candidate(engine, state.engines().values(), time) : Optional.empty();
    if (loading >= MAXIMUM_CONCURRENT_LOADS || full && evicted.isEmpty()) {
      List<PendingLoad> overdue =
          engine.pending().stream()
              .filter(load -> time.since(load.requestedAt()).compareTo(SLOT_WAIT_TIMEOUT) > 0)
              .toList();
      return refuseLoads(state, instance, engine, overdue, "no_slot");
    }
    return full
        ? order(state, target, engine, FleetEffect.OrderKind.UNLOAD, evicted.get(), time)
        : order(state, target, engine, FleetEffect.OrderKind.LOAD, first.adapter(), time);
  }

  private Step<FleetState, FleetEffect> order(
      FleetState state,
      Instance target,
      OwnedEngine engine,
      FleetEffect.OrderKind kind,
      AdapterKey adapter,
      MonotonicTime time) {
    LocalState local = state.local().withNextOrder();
    Lease lease = state.leases().get(target.identifier());
    OwnedEngine next =
        engine.withInFlight(
            Optional.of(new OrderInFlight(local.lastOrderNumber(), kind, adapter, time)));
    return Step.of(
        state.withLocal(local).withEngine(target.identifier(), next),
        new FleetEffect.SendOrder(
            target,
            local.lastOrderNumber(),
            kind,
            adapter,
            state.versions().of(adapter),
            engine.orderCount(),
            lease.fence(),
            leases.heldUntil(state, target.identifier())));
  }

  private Step<FleetState, FleetEffect> stateUnknown(
      FleetState state, String instance, OwnedEngine engine, String reason, MonotonicTime time) {
    FleetEffect logEvent =
        new FleetEffect.LogEvent("engine_state_unknown", instance, Optional.of(reason));
    return Step.<FleetState, FleetEffect>of(state, logEvent)
        .andThen(
            next ->
                refusePending(
                    next,
                    instance,
                    engine.withUnknownState(time.plus(settings.reportLag())),
                    "unknown"));
  }

  private Step<FleetState, FleetEffect> refusePending(
      FleetState state, String instance, OwnedEngine engine, String reason) {
    return refuseLoads(state, instance, engine, engine.pending(), reason);
  }

  private Step<FleetState, FleetEffect> refuseLoads(
      FleetState state,
      String instance,
      OwnedEngine engine,
      List<PendingLoad> refused,
      String reason) {
    List<FleetEffect> effects = new ArrayList<>();
    for (PendingLoad load : refused) {
      for (String requester : load.requesters()) {
        effects.add(refuse(requester, instance, load.adapter(), reason));
      }
    }
    OwnedEngine next = engine.withPending(engine.pending().minusAll(refused));
    return new Step<>(state.withEngine(instance, next), effects);
  }

  private FleetEffect answer(
      String requester, String instance, AdapterKey adapter, AdapterSlot slot, MonotonicTime time) {
    Duration left = slot.readyAt().since(time);
    Duration loadingFor = time.since(slot.orderedAt());
    Duration readyIn = left.isNegative() ? OVERDUE_LOAD_DELAY : left;
    return requester.equals(settings.self())
        ? new FleetEffect.LoadOrdered(instance, adapter, readyIn, loadingFor)
        : new FleetEffect.SendMessage(
            requester,
            new LoadAnswer(
                instance, adapter, true, readyIn.toMillis() + 1, loadingFor.toMillis(), ""));
  }

  private FleetEffect refuse(String requester, String instance, AdapterKey adapter, String reason) {
    return requester.equals(settings.self())
        ? new FleetEffect.LoadRefused(instance, adapter, reason)
        : new FleetEffect.SendMessage(
            requester, new LoadAnswer(instance, adapter, false, 0, 0, reason));
  }
}
