package org.parsleyhead.core.scheduling;

import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.core.api.RequestIdentifier;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.Transition;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.engine.EngineHint;
import org.parsleyhead.core.engine.PinGrant;
import org.parsleyhead.core.engine.PinRecall;
import org.parsleyhead.core.engine.PinRefusal;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Transition of the scheduling duty: queues model requests, requests pins for their adapters and
 * dispatches the requests to engines.
 *
 * <p>Immutable and thread-safe.
 */
public final class SchedulingTransition
    implements Transition<SchedulingState, SchedulingEvent, SchedulingEffect> {

  private final SchedulingSettings settings;
  private final RequestQueues queues;
  private final Dispatcher dispatcher;
  private final PinClient pins;

  /** Creates the transition with its settings and its policy. */
  public SchedulingTransition(SchedulingSettings settings, SchedulingPolicy policy) {
    this.settings = Preconditions.requireNonNull(settings, "settings");
    this.queues = new RequestQueues(policy);
    this.dispatcher = new Dispatcher(settings, policy);
    this.pins = new PinClient(settings, new PlacementChoice(settings, policy));
  }

  @Override
  public Step<SchedulingState, SchedulingEffect> apply(
      SchedulingState previous, SchedulingEvent event, MonotonicTime time) {
    SchedulingState state = previous.advanceThroughput(time);
    if (event instanceof SchedulingEvent.Submitted submitted) {
      return submit(state, submitted.request(), time);
    }
    if (event instanceof SchedulingEvent.Finished finished) {
      return finish(state, finished, time);
    }
    if (event instanceof SchedulingEvent.Cancelled cancelled) {
      return cancel(state, cancelled.identifier(), time);
    }
    if (event instanceof SchedulingEvent.MessageReceived received) {
      return receive(state, received, time);
    }
    if (event instanceof SchedulingEvent.RightsChanged changed) {
      return Step.of(state.withRightsSnapshot(changed.rightsSnapshot()));
    }
    if (event instanceof SchedulingEvent.UpstreamsChanged changed) {
      return changeUpstreams(state, changed.upstreams(), time);
    }
    if (event instanceof SchedulingEvent.UpstreamFailed failed) {
      return handleEngineFailure(state, failed.upstream(), time);
    }
    return tick(state, time);
  }

  private Step<SchedulingState, SchedulingEffect> submit(
      SchedulingState state, ModelRequest request, MonotonicTime time) {
    return queues
        .submit(state, request, time)
        .andThen(next -> serve(next, request.adapter(), time));
  }

  private Step<SchedulingState, SchedulingEffect> serve(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    return dispatcher
        .dispatchAdapter(state, adapter, time)
        .andThen(next -> pins.requestIfNeeded(next, adapter, time));
  }

  private Step<SchedulingState, SchedulingEffect> finish(
      SchedulingState state, SchedulingEvent.Finished finished, MonotonicTime time) {
    RunningRequest running = state.running().get(finished.identifier());
    if (running == null) {
      return Step.of(state);
    }
    UpstreamName upstream = running.upstream();
    AdapterReference adapter = running.request().adapter();
    AdapterView view = state.adapter(adapter, time);
    EngineView engine = state.engines().get(upstream);
    Placement ended = view.placement(upstream, time).ended(time);
    SchedulingState next =
        state
            .withRunning(state.running().minus(finished.identifier()))
            .with(adapter, view.with(upstream, ended));
    next = engine == null ? next : next.with(engine.ended(time));
    next = recordThroughput(next, running.request(), finished);
    boolean adapterMissing = finished.outcome() == RequestOutcome.ADAPTER_MISSING;
    Step<SchedulingState, SchedulingEffect> step =
        adapterMissing ? pins.handleMissingAdapter(next, upstream, adapter, time) : Step.of(next);
    return step.andThen(current -> dispatcher.dispatchToEngine(current, upstream, time))
        .andThen(current -> pins.requestIfNeeded(current, adapter, time));
  }

  private static SchedulingState recordThroughput(
      SchedulingState state, ModelRequest request, SchedulingEvent.Finished finished) {
    boolean recorded = state.isSaturated() && finished.outcome() == RequestOutcome.COMPLETED;
    return recorded ? state.withThroughput(state.throughput().served(request.cost())) : state;
  }

  private Step<SchedulingState, SchedulingEffect> cancel(
      SchedulingState state, RequestIdentifier identifier, MonotonicTime time) {
    WaitingRequest waiting = state.waiting().get(identifier);
    return waiting == null
        ? finish(state, new SchedulingEvent.Finished(identifier, RequestOutcome.ABANDONED, 0), time)
        : Step.of(queues.remove(state, waiting, time));
  }

  private Step<SchedulingState, SchedulingEffect> receive(
      SchedulingState state, SchedulingEvent.MessageReceived received, MonotonicTime time) {
    if (received.message() instanceof PinGrant grant) {
      return pins.handleGrant(state, received.sender().host(), grant, time)
          .andThen(next -> serveEach(next, grant.adapters(), time));
    }
    if (received.message() instanceof PinRefusal refusal) {
      return pins.requestIfNeeded(
          pins.handleRefusal(state, refusal, time), refusal.adapter(), time);
    }
    if (received.message() instanceof PinRecall recall) {
      return pins.handleRecall(state, recall, time)
          .andThen(next -> pins.requestIfNeeded(next, recall.adapter(), time));
    }
    if (received.message() instanceof EngineHint hint) {
      return handleHint(state, hint, time);
    }
    return Step.of(state);
  }

  private Step<SchedulingState, SchedulingEffect> serveEach(
      SchedulingState state, List<AdapterReference> adapters, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    for (AdapterReference adapter : adapters) {
      step = step.andThen(next -> serve(next, adapter, time));
    }
    return step;
  }

  private Step<SchedulingState, SchedulingEffect> handleHint(
      SchedulingState state, EngineHint hint, MonotonicTime time) {
    EngineView engine = state.engines().get(hint.engine());
    if (engine == null) {
      return Step.of(state);
    }
    EngineView.LoadReport report =
        new EngineView.LoadReport(
            hint.running(), hint.waiting(), engine.outstanding(), time.minus(hint.age()));
    return dispatcher.dispatchToEngine(
        state.with(engine.withReport(report, hint.resident())), hint.engine(), time);
  }

  private Step<SchedulingState, SchedulingEffect> changeUpstreams(
      SchedulingState state, List<UpstreamItem> upstreams, MonotonicTime time) {
    PMap<UpstreamName, EngineView> engines = HashTreePMap.empty();
    for (UpstreamItem item : upstreams) {
      if (item.engine().isPresent()) {
        EngineView current = state.engines().get(item.name());
        engines =
            engines.plus(
                item.name(),
                current == null ? EngineView.unknown(item, time) : current.withItem(item));
      }
    }
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    for (UpstreamName previous : state.engines().keySet()) {
      if (!engines.containsKey(previous)) {
        step = step.andThen(next -> releasePins(next, previous, time));
      }
    }
    PMap<UpstreamName, EngineView> updated = engines;
    return step.andThen(next -> Step.of(next.withEngines(retainReadySets(next, updated))))
        .andThen(next -> serveAll(next, time));
  }

  private static PMap<UpstreamName, EngineView> retainReadySets(
      SchedulingState state, PMap<UpstreamName, EngineView> engines) {
    PMap<UpstreamName, EngineView> retained = engines;
    for (EngineView engine : engines.values()) {
      EngineView current = state.engines().get(engine.name());
      if (current != null) {
        retained = retained.plus(engine.name(), engine.withReady(current.ready()));
      }
    }
    return retained;
  }

  private Step<SchedulingState, SchedulingEffect> handleEngineFailure(
      SchedulingState state, UpstreamName upstream, MonotonicTime time) {
    EngineView engine = state.engines().get(upstream);
    if (engine == null) {
      return Step.of(state);
    }
    return releasePins(state, upstream, time)
        .andThen(
            next ->
                Step.of(
                    next.with(
                        next.engines().get(upstream).failed(time.plus(settings.failureBackoff())))))
        .andThen(next -> serveAll(next, time));
  }

  private Step<SchedulingState, SchedulingEffect> releasePins(
      SchedulingState state, UpstreamName upstream, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    for (Map.Entry<AdapterReference, AdapterView> entry : state.adapters().entrySet()) {
      if (entry.getValue().placements().containsKey(upstream)) {
        step =
            step.andThen(
                next ->
                    pins.release(
                        next,
                        upstream,
                        entry.getKey(),
                        false,
                        time.plus(settings.failureBackoff()),
                        time));
      }
    }
    return step;
  }

  private Step<SchedulingState, SchedulingEffect> serveAll(
      SchedulingState state, MonotonicTime time) {
    Step<SchedulingState, SchedulingEffect> step = Step.of(state);
    for (Map.Entry<AdapterReference, AdapterView> entry : state.adapters().entrySet()) {
      if (!entry.getValue().queue().isEmpty()) {
        step = step.andThen(next -> serve(next, entry.getKey(), time));
      }
    }
    return step;
  }

  private Step<SchedulingState, SchedulingEffect> tick(SchedulingState state, MonotonicTime time) {
    return queues
        .expire(state, time)
        .andThen(next -> pins.renewAndRelease(next, time))
        .andThen(next -> serveAll(next, time));
  }
}
