package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.EngineProfile;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePVector;

/**
 * Decides on the orders to the model servers that this host owns.
 *
 * <p>Immutable and thread-safe. An adapter that requests use, by the last word of every host, is
 * not unloaded. No load goes beyond the slots of a server.
 */
final class EngineDesk {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  /** Adapters that may be on their way to one server at a time. */
  private static final int MOST_COMING = 4;

  /** Loads that wait at one server; more would not be there in time. */
  private static final int MOST_PENDING = 16;

  /** How long an adapter stays after its last use: longer than the word of a new use takes. */
  private static final Duration SHORTEST_STAY = Duration.ofMillis(700);

  /** How long a load waits for a slot before it is refused, so that another server is tried. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(120);

  /** Added to the expected time of a load, so that requests do not come too early. */
  private static final Duration ARRIVAL_MARGIN = Duration.ofMillis(20);

  /** Time that is added for an adapter which a host misses although it should be there. */
  private static final Duration LATE_MARGIN = Duration.ofMillis(60);

  private final FleetSettings settings;
  private final Leases leases;

  EngineDesk(FleetSettings settings, Leases leases) {
    this.settings = settings;
    this.leases = leases;
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
          state.withEngine(request.instance(), engine.withSlot(request.adapter(), slot.used(time)));
      return Step.of(
          used, answer(request.endpoint(), request.instance(), request.adapter(), slot, time));
    }
    if (engine.pending().size() >= MOST_PENDING) {
      return Step.of(
          state, refuse(request.endpoint(), request.instance(), request.adapter(), "queue_full"));
    }
    Optional<PendingLoad> known = engine.findPending(request.adapter());
    OwnedEngine next =
        known.isPresent()
            ? engine.withPending(
                engine
                    .pending()
                    .with(
                        engine.pending().indexOf(known.get()),
                        known.get().with(request.endpoint())))
            : engine.withPending(
                engine.pending().plus(PendingLoad.of(request.adapter(), request.endpoint(), time)));
    return proceed(state.withEngine(request.instance(), next), request.instance(), time);
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
    boolean accepted = answered.status() == OK || answered.status() == ACCEPTED;
    if (!accepted || order.kind() == FleetEffect.OrderKind.UNLOAD && answered.status() != OK) {
      return doubt(state, answered.instance(), engine, "status=" + answered.status(), time);
    }
    if (order.adapter().baseModel()) {
      return Step.of(
          state.withEngine(answered.instance(), engine.doubtful(time.plus(settings.reportLag()))));
    }
    if (order.kind() == FleetEffect.OrderKind.UNLOAD) {
      OwnedEngine next = engine.unloaded(order.adapter(), time);
      return proceed(state.withEngine(answered.instance(), next), answered.instance(), time);
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
    if (report.busy()) {
      return Step.of(state.withEngine(instance, engine.doubtful(time.plus(settings.reportLag()))));
    }
    OwnedEngine next = engine.report(report, time.plus(settings.coldLoad()), time);
    return proceed(state.withEngine(instance, next), instance, time);
  }

  Step<FleetState, FleetEffect> reportFailed(
      FleetState state, FleetEvent.ReportFailed failed, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(failed.instance());
    if (engine == null || engine.reported()) {
      return Step.of(state);
    }
    return refuseAll(
        state, failed.instance(), engine.doubtful(time.plus(settings.reportLag())), "no_report");
  }

  /** Stops giving orders for good, as this process is about to stop. */
  Step<FleetState, FleetEffect> giveUpAll(FleetState state) {
    Step<FleetState, FleetEffect> step = Step.of(state);
    for (Map.Entry<String, OwnedEngine> engine : state.engines().entrySet()) {
      step =
          step.andThen(next -> refuseAll(next, engine.getKey(), engine.getValue(), "owner_leaves"));
    }
    return step.andThen(
        next -> Step.of(next.withEngines(HashTreePMap.empty()).withLeases(HashTreePMap.empty())));
  }

  /** Asks for reports that are due, ends waits that are over and goes on with what can go on. */
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
      return doubt(state, instance, engine, "no_answer", time);
    }
    boolean ask =
        !engine.reported()
            && engine.knowledge().askAt().isPresent()
            && !time.isBefore(engine.knowledge().askAt().get());
    if (ask) {
      OwnedEngine next =
          engine.reportAwaited(time.plus(settings.orderTimeout()).plus(settings.reportLag()));
      return Step.of(state.withEngine(instance, next), new FleetEffect.AskReport(target));
    }
    return proceed(state, instance, time);
  }

  private Step<FleetState, FleetEffect> loadAccepted(
      FleetState state,
      String instance,
      OwnedEngine engine,
      OrderInFlight order,
      MonotonicTime time) {
    Duration expected =
        engine.former().containsKey(order.adapter()) ? settings.warmLoad() : settings.coldLoad();
    AdapterSlot slot =
        new AdapterSlot(
            state.versions().of(order.adapter()),
            order.sentAt().plus(expected).plus(ARRIVAL_MARGIN),
            time);
    Optional<PendingLoad> pending = engine.findPending(order.adapter());
    OwnedEngine next = engine.loaded(order.adapter(), slot, time);
    List<FleetEffect> effects = new ArrayList<>();
    if (pending.isPresent()) {
      next = next.withPending(next.pending().minus(pending.get()));
      for (String asker : pending.get().askers()) {
        effects.add(answer(asker, instance, order.adapter(), slot, time));
      }
    }
    return new Step<FleetState, FleetEffect>(state.withEngine(instance, next), effects)
        .andThen(before -> proceed(before, instance, time));
  }

  private Step<FleetState, FleetEffect> proceed(
      FleetState state, String instance, MonotonicTime time) {
    OwnedEngine engine = state.engines().get(instance);
    Instance target = state.instances().get(instance);
    boolean may =
        engine != null && target != null && engine.reported() && engine.inFlight().isEmpty();
    Optional<EngineProfile> profile = target == null ? Optional.empty() : state.profile(target);
    if (!may || profile.isEmpty()) {
      return Step.of(state);
    }
    if (!time.isBefore(leases.heldUntil(state, instance))) {
      return refuseAll(state, instance, engine, "no_lease");
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

  /** Returns a base model that fits beside what the server holds, if it holds none. */
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
    PendingLoad first = engine.pending().get(0);
    long coming =
        engine.slots().values().stream().filter(slot -> time.isBefore(slot.readyAt())).count();
    boolean replaces = engine.slots().containsKey(first.adapter());
    boolean full = !replaces && engine.slots().size() >= profile.adapterSlots();
    Optional<AdapterKey> victim = full ? victim(engine, time) : Optional.empty();
    if (coming >= MOST_COMING || full && victim.isEmpty()) {
      return time.since(first.since()).compareTo(LONGEST_WAIT) > 0
          ? refuseAll(state, instance, engine, "no_slot")
          : Step.of(state);
    }
    return full
        ? order(state, target, engine, FleetEffect.OrderKind.UNLOAD, victim.get(), time)
        : order(state, target, engine, FleetEffect.OrderKind.LOAD, first.adapter(), time);
  }

  private Step<FleetState, FleetEffect> order(
      FleetState state,
      Instance target,
      OwnedEngine engine,
      FleetEffect.OrderKind kind,
      AdapterKey adapter,
      MonotonicTime time) {
    FleetState.Clocks clocks = state.clocks().order();
    Lease lease = state.leases().get(target.identifier());
    OwnedEngine next =
        engine.withInFlight(
            Optional.of(new OrderInFlight(clocks.lastOrder(), kind, adapter, time)));
    return Step.of(
        state.withClocks(clocks).withEngine(target.identifier(), next),
        new FleetEffect.SendOrder(
            target,
            clocks.lastOrder(),
            kind,
            adapter,
            state.versions().of(adapter),
            engine.orderCount(),
            lease.fence(),
            leases.heldUntil(state, target.identifier())));
  }

  /** Returns the unused adapter whose last use is the longest ago. */
  private static Optional<AdapterKey> victim(OwnedEngine engine, MonotonicTime time) {
    return engine.slots().entrySet().stream()
        .filter(entry -> !time.isBefore(entry.getValue().readyAt()))
        .filter(entry -> time.since(entry.getValue().usedAt()).compareTo(SHORTEST_STAY) > 0)
        .filter(entry -> !engine.inUse(entry.getKey()))
        .min(Comparator.comparing(entry -> entry.getValue().usedAt()))
        .map(Map.Entry::getKey);
  }

  private Step<FleetState, FleetEffect> doubt(
      FleetState state, String instance, OwnedEngine engine, String reason, MonotonicTime time) {
    FleetEffect note = new FleetEffect.Note("engine_state_unknown", instance, Optional.of(reason));
    return Step.<FleetState, FleetEffect>of(state, note)
        .andThen(
            next ->
                refuseAll(
                    next, instance, engine.doubtful(time.plus(settings.reportLag())), "unknown"));
  }

  private Step<FleetState, FleetEffect> refuseAll(
      FleetState state, String instance, OwnedEngine engine, String reason) {
    List<FleetEffect> effects = new ArrayList<>();
    for (PendingLoad load : engine.pending()) {
      for (String asker : load.askers()) {
        effects.add(refuse(asker, instance, load.adapter(), reason));
      }
    }
    OwnedEngine next = engine.withPending(TreePVector.empty());
    return new Step<>(state.withEngine(instance, next), effects);
  }

  private FleetEffect answer(
      String asker, String instance, AdapterKey adapter, AdapterSlot slot, MonotonicTime time) {
    Duration left = slot.readyAt().since(time);
    Duration readyIn = left.isNegative() ? LATE_MARGIN : left;
    return asker.equals(settings.self())
        ? new FleetEffect.LoadOrdered(instance, adapter, readyIn)
        : new FleetEffect.SendMessage(
            asker, new LoadAnswer(instance, adapter, true, readyIn.toMillis() + 1, ""));
  }

  private FleetEffect refuse(String asker, String instance, AdapterKey adapter, String reason) {
    return asker.equals(settings.self())
        ? new FleetEffect.LoadRefused(instance, adapter, reason)
        : new FleetEffect.SendMessage(asker, new LoadAnswer(instance, adapter, false, 0, reason));
  }
}
