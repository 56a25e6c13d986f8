package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.PinDemand;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRecall;
import org.parsleyhead.core.engine.PinRefusal;
import org.parsleyhead.core.engine.PinRelease;
import org.parsleyhead.core.engine.PinRequest;
import org.parsleyhead.core.ticket.Priority;

/**
 * Asks the owners of engines for pins, renews the used ones and releases the others.
 *
 * <p>Immutable and thread-safe. A pin counts from the instant when its request was sent, so that it
 * ends on this host before the owner stops counting it.
 */
final class PinClient {

  private static final Duration RECALL_PAUSE = Duration.ofSeconds(2);
  private static final Duration MISSING_PAUSE = Duration.ofMillis(50);

  private final SchedulingSettings settings;
  private final PlacementChoice placements;

  PinClient(SchedulingSettings settings, PlacementChoice placements) {
    this.settings = settings;
    this.placements = placements;
  }

  /** Asks for a pin if requests of an adapter wait and no engine can take them soon. */
  Step<SchedulingState, SchedulingEffect> ask(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    SchedulingState current = giveUpLate(state, adapter, time);
    AdapterView view = current.adapter(adapter, time);
    if (view.queue().isEmpty()) {
      return Step.of(current);
    }
    Optional<UpstreamName> pending = pendingWithoutPin(view, time);
    if (pending.isPresent()) {
      Placement asked = view.placement(pending.get(), time);
      boolean repeat = !time.isBefore(asked.askedAt().plus(settings.askAgain()));
      return repeat ? request(current, pending.get(), List.of(adapter), time) : Step.of(current);
    }
    return placements
        .next(current, adapter, view, time)
        .map(engine -> request(current, engine, List.of(adapter), time))
        .orElseGet(() -> Step.of(current));
  }

  /** Takes up pins; those that are not wanted any more go back. */
  Step<SchedulingState, SchedulingEffect> granted(
      SchedulingState state, HostName owner, PinGrant grant, MonotonicTime time) {
    if (!grant.requester().equals(state.standing().incarnation())) {
      return Step.of(state);
    }
    SchedulingState current = state;
    List<AdapterReference> unwanted = new ArrayList<>();
    for (AdapterReference adapter : grant.adapters()) {
      AdapterView view = current.adapter(adapter, time);
      Placement placement = view.placement(grant.engine(), time);
      if (placement.asked().isEmpty() || placement.asked().getAsLong() != grant.number()) {
        unwanted.add(adapter);
        continue;
      }
      MonotonicTime until =
          placement.askedAt().plus(grant.duration()).minus(settings.clockMargin());
      AdapterView pinned = view.with(grant.engine(), placement.granted(until, time));
      current = ReadySets.refresh(serveClaim(current, adapter, pinned), adapter, time);
    }
    return unwanted.isEmpty()
        ? Step.of(current)
        : Step.of(
            current,
            new SchedulingEffect.Send(
                owner, new PinRelease(grant.engine(), grant.number(), unwanted, 0, false)));
  }

  private static SchedulingState serveClaim(
      SchedulingState state, AdapterReference adapter, AdapterView view) {
    LoadShares served = view.loadClaim().map(state.loadShares()::serve).orElse(state.loadShares());
    return state.withLoadShares(served).with(adapter, view.withLoadClaim(Optional.empty()));
  }

  /** Takes up a refusal; a pin that is still valid stays. */
  SchedulingState refused(SchedulingState state, PinRefusal refusal, MonotonicTime time) {
    AdapterView view = state.adapter(refusal.adapter(), time);
    Placement placement = view.placement(refusal.engine(), time);
    boolean current =
        refusal.requester().equals(state.standing().incarnation())
            && placement.asked().isPresent()
            && placement.asked().getAsLong() == refusal.number();
    return current
        ? state.with(
            refusal.adapter(),
            view.with(refusal.engine(), placement.refused(time.plus(refusal.retryAfter()))))
        : state;
  }

  /** Releases a pin that its owner wants back. */
  Step<SchedulingState, SchedulingEffect> recalled(
      SchedulingState state, PinRecall recall, MonotonicTime time) {
    return release(state, recall.engine(), recall.adapter(), false, time.plus(RECALL_PAUSE), time);
  }

  /** Gives up a pin whose engine was found without the adapter. */
  Step<SchedulingState, SchedulingEffect> missing(
      SchedulingState state, UpstreamName engine, AdapterReference adapter, MonotonicTime time) {
    return release(state, engine, adapter, true, time.plus(MISSING_PAUSE), time);
  }

  /** Releases a pin, and tells if the engine was found without the adapter. */
  Step<SchedulingState, SchedulingEffect> release(
      SchedulingState state,
      UpstreamName engine,
      AdapterReference adapter,
      boolean missing,
      MonotonicTime retryAt,
      MonotonicTime time) {
    AdapterView view = state.adapter(adapter, time);
    Placement placement = view.placements().get(engine);
    if (placement == null) {
      return Step.of(state);
    }
    SchedulingState unpinned =
        ReadySets.refresh(
            state.with(adapter, view.with(engine, placement.unpinned(retryAt))), adapter, time);
    Optional<HostName> owner = owner(state, engine);
    boolean held = placement.isPinned(time) || placement.pending();
    return !held || placement.asked().isEmpty() || owner.isEmpty()
        ? Step.of(unpinned)
        : Step.of(
            unpinned,
            new SchedulingEffect.Send(
                owner.get(),
                new PinRelease(
                    engine,
                    placement.asked().getAsLong(),
                    List.of(adapter),
                    placement.startsSinceAsked(),
                    missing)));
  }

  /** Renews used pins, one message for each engine, and releases unused ones. */
  Step<SchedulingState, SchedulingEffect> maintain(SchedulingState state, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    Map<UpstreamName, List<AdapterReference>> renewals = new TreeMap<>();
    for (Map.Entry<AdapterReference, AdapterView> entry : state.adapters().entrySet()) {
      AdapterReference adapter = entry.getKey();
      for (var placed : entry.getValue().placements().entrySet()) {
        UpstreamName engine = placed.getKey();
        Placement placement = placed.getValue();
        if (isIdle(entry.getValue(), placement, time)) {
          step = step.andThen(next -> forget(next, engine, adapter, time));
        } else if (isRenewalDue(placement, time)) {
          renewals.computeIfAbsent(engine, ignored -> new ArrayList<>()).add(adapter);
        }
      }
    }
    for (var renewal : renewals.entrySet()) {
      step = step.andThen(next -> request(next, renewal.getKey(), renewal.getValue(), time));
    }
    return step;
  }

  private Step<SchedulingState, SchedulingEffect> forget(
      SchedulingState state, UpstreamName engine, AdapterReference adapter, MonotonicTime time) {
    return release(state, engine, adapter, false, time, time)
        .andThen(next -> Step.of(next.with(adapter, next.adapter(adapter, time).without(engine))));
  }

  private boolean isIdle(AdapterView view, Placement placement, MonotonicTime time) {
    boolean unused = !time.isBefore(placement.lastUse().plus(settings.pinIdleRelease()));
    boolean awaited =
        placement.pending() && time.isBefore(placement.firstAskedAt().plus(settings.askPatience()));
    boolean settled = !awaited && !time.isBefore(placement.notBefore());
    return unused
        && settled
        && placement.outstanding() == 0
        && (view.queue().isEmpty() || !placement.isPinned(time));
  }

  private boolean isRenewalDue(Placement placement, MonotonicTime time) {
    boolean used = placement.startsSinceAsked() > 0 || placement.outstanding() > 0;
    boolean due = !time.isBefore(placement.askedAt().plus(settings.pinRenewInterval()));
    return placement.isPinned(time) && used && due && !time.isBefore(placement.notBefore());
  }

  /** Turns from an engine whose owner has not answered for long. */
  private SchedulingState giveUpLate(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    AdapterView view = state.adapter(adapter, time);
    for (var placed : view.placements().entrySet()) {
      Placement placement = placed.getValue();
      boolean late =
          placement.pending()
              && !time.isBefore(placement.firstAskedAt().plus(settings.askPatience()))
              && !isHeardOf(state, placed.getKey(), time);
      if (late) {
        view = view.with(placed.getKey(), placement.refused(time.plus(settings.askPatience())));
      }
    }
    return state.with(adapter, view);
  }

  /** Tells whether the owner of an engine lately sent a hint, and so holds the request. */
  private boolean isHeardOf(SchedulingState state, UpstreamName engine, MonotonicTime time) {
    return Optional.ofNullable(state.engines().get(engine))
        .flatMap(EngineView::report)
        .filter(report -> time.since(report.taken()).compareTo(settings.askPatience()) < 0)
        .isPresent();
  }

  private static Optional<UpstreamName> pendingWithoutPin(AdapterView view, MonotonicTime time) {
    return view.placements().entrySet().stream()
        .filter(placed -> placed.getValue().pending() && !placed.getValue().isPinned(time))
        .map(Map.Entry::getKey)
        .min(UpstreamName::compareTo);
  }

  private Step<SchedulingState, SchedulingEffect> request(
      SchedulingState state,
      UpstreamName engine,
      List<AdapterReference> adapters,
      MonotonicTime time) {
    Optional<HostName> owner = owner(state, engine);
    if (owner.isEmpty()) {
      return Step.of(state);
    }
    long number = state.nextNumber();
    SchedulingState current = state.withNextNumber(number + 1);
    List<PinDemand> demands = new ArrayList<>();
    for (AdapterReference adapter : adapters) {
      AdapterView view = current.adapter(adapter, time);
      Placement placement = view.placement(engine, time);
      demands.add(demand(current, adapter, view, placement));
      current = current.with(adapter, view.with(engine, placement.askedFor(number, time)));
    }
    return Step.of(
        current, new SchedulingEffect.Send(owner.get(), new PinRequest(engine, number, demands)));
  }

  private static PinDemand demand(
      SchedulingState state, AdapterReference adapter, AdapterView view, Placement placement) {
    boolean interactive =
        !view.queue().isEmpty()
            && view.queue().firstEntry().getValue().request().priority() == Priority.INTERACTIVE;
    return new PinDemand(
        adapter,
        view.queue().size(),
        placement.startsSinceAsked(),
        interactive ? Priority.INTERACTIVE : Priority.BATCH,
        view.loadClaim().map(state.loadShares()::ahead).orElse(0));
  }

  private static Optional<HostName> owner(SchedulingState state, UpstreamName engine) {
    return Rendezvous.first(engine.text(), state.standing().members());
  }
}
