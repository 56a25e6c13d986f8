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
 * Requests pins from the owners of engines, renews pins that are in use and releases idle ones.
 *
 * <p>Immutable and thread-safe. The duration of a pin is measured from when its request was sent,
 * so that the pin expires on this host before it expires at the owner.
 */
final class PinClient {

  private static final Duration RECALL_RETRY_DELAY = Duration.ofSeconds(2);
  private static final Duration MISSING_ADAPTER_RETRY_DELAY = Duration.ofMillis(50);

  private final SchedulingSettings settings;
  private final PlacementChoice placements;

  PinClient(SchedulingSettings settings, PlacementChoice placements) {
    this.settings = settings;
    this.placements = placements;
  }

  /**
   * Requests a pin if requests of an adapter wait and another engine is needed for them. While a
   * request to an engine without a valid pin is unanswered, that request is repeated instead.
   */
  Step<SchedulingState, SchedulingEffect> requestIfNeeded(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    SchedulingState current = expireUnansweredRequests(state, adapter, time);
    AdapterView view = current.adapter(adapter, time);
    if (view.queue().isEmpty()) {
      return Step.of(current);
    }
    Optional<UpstreamName> pending = pendingWithoutPin(view, time);
    if (pending.isPresent()) {
      Placement placement = view.placement(pending.get(), time);
      boolean retryDue =
          !time.isBefore(placement.requestedAt().plus(settings.pinRequestRetryInterval()));
      return retryDue ? request(current, pending.get(), List.of(adapter), time) : Step.of(current);
    }
    return placements
        .nextEngine(current, adapter, view, time)
        .map(engine -> request(current, engine, List.of(adapter), time))
        .orElseGet(() -> Step.of(current));
  }

  /** Accepts granted pins and releases those that do not answer the latest request. */
  Step<SchedulingState, SchedulingEffect> handleGrant(
      SchedulingState state, HostName owner, PinGrant grant, MonotonicTime time) {
    if (!grant.requester().equals(state.rightsSnapshot().incarnation())) {
      return Step.of(state);
    }
    SchedulingState current = state;
    List<AdapterReference> unwanted = new ArrayList<>();
    for (AdapterReference adapter : grant.adapters()) {
      AdapterView view = current.adapter(adapter, time);
      Placement placement = view.placement(grant.engine(), time);
      if (placement.requestNumber().isEmpty()
          || placement.requestNumber().getAsLong() != grant.number()) {
        unwanted.add(adapter);
        continue;
      }
      MonotonicTime until =
          placement.requestedAt().plus(grant.duration()).minus(settings.clockMargin());
      AdapterView pinned = view.with(grant.engine(), placement.granted(until, time));
      current = ReadySets.refresh(completeLoadClaim(current, adapter, pinned), adapter, time);
    }
    return unwanted.isEmpty()
        ? Step.of(current)
        : Step.of(
            current,
            new SchedulingEffect.Send(
                owner, new PinRelease(grant.engine(), grant.number(), unwanted, 0, false)));
  }

  private static SchedulingState completeLoadClaim(
      SchedulingState state, AdapterReference adapter, AdapterView view) {
    LoadShares served =
        view.loadClaim().map(state.loadShares()::complete).orElse(state.loadShares());
    return state.withLoadShares(served).with(adapter, view.withLoadClaim(Optional.empty()));
  }

  /** Handles a refusal. A pin that is still valid is kept. */
  SchedulingState handleRefusal(SchedulingState state, PinRefusal refusal, MonotonicTime time) {
    AdapterView view = state.adapter(refusal.adapter(), time);
    Placement placement = view.placement(refusal.engine(), time);
    boolean current =
        refusal.requester().equals(state.rightsSnapshot().incarnation())
            && placement.requestNumber().isPresent()
            && placement.requestNumber().getAsLong() == refusal.number();
    return current
        ? state.with(
            refusal.adapter(),
            view.with(refusal.engine(), placement.refused(time.plus(refusal.retryAfter()))))
        : state;
  }

  /** Releases a pin that the owner of the engine recalls. */
  Step<SchedulingState, SchedulingEffect> handleRecall(
      SchedulingState state, PinRecall recall, MonotonicTime time) {
    return release(
        state, recall.engine(), recall.adapter(), false, time.plus(RECALL_RETRY_DELAY), time);
  }

  /** Releases a pin on an engine that turned out not to hold the adapter. */
  Step<SchedulingState, SchedulingEffect> handleMissingAdapter(
      SchedulingState state, UpstreamName engine, AdapterReference adapter, MonotonicTime time) {
    return release(state, engine, adapter, true, time.plus(MISSING_ADAPTER_RETRY_DELAY), time);
  }

  /** Releases a pin and reports whether the engine turned out not to hold the adapter. */
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
    boolean releaseNeeded = placement.isPinned(time) || placement.pending();
    return !releaseNeeded || placement.requestNumber().isEmpty() || owner.isEmpty()
        ? Step.of(unpinned)
        : Step.of(
            unpinned,
            new SchedulingEffect.Send(
                owner.get(),
                new PinRelease(
                    engine,
                    placement.requestNumber().getAsLong(),
                    List.of(adapter),
                    placement.startsSinceRequest(),
                    missing)));
  }

  /** Renews pins that are in use, with one message for each engine, and releases idle ones. */
  Step<SchedulingState, SchedulingEffect> renewAndRelease(
      SchedulingState state, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    Map<UpstreamName, List<AdapterReference>> renewals = new TreeMap<>();
    for (Map.Entry<AdapterReference, AdapterView> entry : state.adapters().entrySet()) {
      AdapterReference adapter = entry.getKey();
      for (var placed : entry.getValue().placements().entrySet()) {
        UpstreamName engine = placed.getKey();
        Placement placement = placed.getValue();
        if (isIdle(entry.getValue(), placement, time)) {
          step = step.andThen(next -> releaseAndRemove(next, engine, adapter, time));
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

  private Step<SchedulingState, SchedulingEffect> releaseAndRemove(
      SchedulingState state, UpstreamName engine, AdapterReference adapter, MonotonicTime time) {
    return release(state, engine, adapter, false, time, time)
        .andThen(next -> Step.of(next.with(adapter, next.adapter(adapter, time).without(engine))));
  }

  private boolean isIdle(AdapterView view, Placement placement, MonotonicTime time) {
    boolean unused = !time.isBefore(placement.lastUsedAt().plus(settings.pinIdleTimeout()));
    boolean answerPending =
        placement.pending()
            && time.isBefore(placement.firstRequestedAt().plus(settings.pinRequestTimeout()));
    boolean mayRelease = !answerPending && !time.isBefore(placement.retryAt());
    return unused
        && mayRelease
        && placement.outstanding() == 0
        && (view.queue().isEmpty() || !placement.isPinned(time));
  }

  private boolean isRenewalDue(Placement placement, MonotonicTime time) {
    boolean used = placement.startsSinceRequest() > 0 || placement.outstanding() > 0;
    boolean due = !time.isBefore(placement.requestedAt().plus(settings.pinRenewInterval()));
    return placement.isPinned(time) && used && due && !time.isBefore(placement.retryAt());
  }

  /**
   * Stops waiting for owners that neither answered a pin request nor sent a hint within the
   * timeout.
   */
  private SchedulingState expireUnansweredRequests(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    AdapterView view = state.adapter(adapter, time);
    for (var placed : view.placements().entrySet()) {
      Placement placement = placed.getValue();
      boolean timedOut =
          placement.pending()
              && !time.isBefore(placement.firstRequestedAt().plus(settings.pinRequestTimeout()))
              && !hasRecentReport(state, placed.getKey(), time);
      if (timedOut) {
        view =
            view.with(placed.getKey(), placement.refused(time.plus(settings.pinRequestTimeout())));
      }
    }
    return state.with(adapter, view);
  }

  /**
   * Returns whether the owner of an engine sent a hint recently, which implies that it holds the
   * request.
   */
  private boolean hasRecentReport(SchedulingState state, UpstreamName engine, MonotonicTime time) {
    return Optional.ofNullable(state.engines().get(engine))
        .flatMap(EngineView::report)
        .filter(report -> time.since(report.takenAt()).compareTo(settings.pinRequestTimeout()) < 0)
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
    long number = state.nextPinRequestNumber();
    SchedulingState current = state.withNextPinRequestNumber(number + 1);
    List<PinDemand> demands = new ArrayList<>();
    for (AdapterReference adapter : adapters) {
      AdapterView view = current.adapter(adapter, time);
      Placement placement = view.placement(engine, time);
      demands.add(demand(current, adapter, view, placement));
      current = current.with(adapter, view.with(engine, placement.requested(number, time)));
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
        placement.startsSinceRequest(),
        interactive ? Priority.INTERACTIVE : Priority.BATCH,
        view.loadClaim().map(state.loadShares()::loadsAhead).orElse(0));
  }

  private static Optional<HostName> owner(SchedulingState state, UpstreamName engine) {
    return Rendezvous.first(engine.text(), state.rightsSnapshot().members());
  }
}
