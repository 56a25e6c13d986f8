package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.overload.WaitLine;

/**
 * Handles requests whose adapter has to be loaded first: requests the load, waits for it, and waits
 * for an owner that can order it.
 *
 * <p>Immutable and thread-safe.
 */
final class AdapterLoads {

  /** Dispatches a request again. Implementations are pure. */
  @FunctionalInterface
  interface Redispatch {

    /** Assigns the request to an instance by the current state. */
    Step<DispatchState, DispatchEffect> dispatch(
        DispatchState state, ActiveRequest active, MonotonicTime time);
  }

  /** Timeout of a load request; covers several round trips between hosts. */
  private static final Duration LOAD_RESPONSE_TIMEOUT = Duration.ofMillis(300);

  /**
   * Time for which a server counts as refusing loads after a load request was refused or not
   * answered in time; owners change within seconds.
   */
  private static final Duration LOAD_REFUSAL_DURATION = Duration.ofMillis(500);

  /** The reason of an owner that has no adapter slot for a load. */
  private static final String NO_SLOT = "no_slot";

  /** Load requests that one request may trigger in a row. */
  private static final int MAXIMUM_LOAD_REQUESTS = 3;

  /** Expected delay until a server has a free adapter slot, or another request has the adapter. */
  private static final Duration EXPECTED_SLOT_DELAY = Duration.ofMillis(150);

  /** Interval at which a request that needs an instance with an owner is dispatched again. */
  private static final Duration OWNER_RETRY_DELAY = Duration.ofMillis(100);

  /** Time from the earliest takeover to the first load that a new owner orders. */
  private static final Duration OWNER_START_DELAY = Duration.ofMillis(400);

  /** Time after the earliest takeover from which no owner is expected soon. */
  private static final Duration MAXIMUM_TAKEOVER_DELAY = Duration.ofMillis(1_500);

  private final DispatchSettings settings;
  private final WaitingRequests waiting;
  private final Redispatch redispatch;
  private final LoadTimes times;
  private final RequestRanks ranks;

  AdapterLoads(DispatchSettings settings, WaitingRequests waiting, Redispatch redispatch) {
    this.settings = settings;
    this.waiting = waiting;
    this.redispatch = redispatch;
    this.times = new LoadTimes(settings);
    this.ranks = new RequestRanks(settings);
  }

  /** Returns the rules on the load times of adapters. */
  LoadTimes times() {
    return times;
  }

  /**
   * Requests the load of the adapter at an instance, or waits for a slot; refuses the request if it
   * could not be answered after the load.
   */
  Step<DispatchState, DispatchEffect> request(
      DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    if (!settings.waitPolicy().waits(settings.coldLoad(), active.deadline().since(time))) {
      return refuse(state, active, EXPECTED_SLOT_DELAY, time);
    }
    if (!mayRequest(active, time)) {
      WaitLine line = new WaitLine(WaitLine.Capacity.ADAPTER_SLOT, active.service());
      MonotonicTime giveUpAt = loadWaitEnd(active);
      return active.progress().responseStarted()
              || loadTimeElapsed(active, time)
              || !waiting.mayWait(state, active, line, giveUpAt, time)
          ? RequestCompletion.fail(
              state,
              active,
              DispatchRefusal.Code.ADAPTER_UNAVAILABLE,
              waiting.retryAfter(state, active, line),
              time)
          : waiting.enqueue(
              state, active.with(active.progress().withoutLoadRequests()), line, giveUpAt, time);
    }
    ActiveRequest loading = active.with(active.progress().requestingLoad(view.identifier(), time));
    return Step.<DispatchState, DispatchEffect>of(
            state,
            new DispatchEffect.RequestLoad(
                view.identifier(),
                adapter(active),
                active.request().identifier(),
                ranks.withLoad(active, view, time)))
        .andThen(before -> RequestWakes.schedule(before, loading, LOAD_RESPONSE_TIMEOUT, time));
  }

  /**
   * Returns whether a request may ask for a load now. A stream that has started asks again after it
   * has waited for any server, and once its last request can no longer be answered.
   */
  private static boolean mayRequest(ActiveRequest active, MonotonicTime time) {
    LoadRequests loads = active.progress().loads();
    if (loads.count() < MAXIMUM_LOAD_REQUESTS) {
      return true;
    }
    boolean timedOut =
        loads
            .lastAt()
            .map(lastAt -> time.since(lastAt).compareTo(LOAD_RESPONSE_TIMEOUT) >= 0)
            .orElse(true);
    boolean waited = active.progress().phase() == Phase.WAITING;
    return active.progress().responseStarted() && waited && timedOut;
  }

  /** Waits for a load that was ordered. */
  Step<DispatchState, DispatchEffect> await(
      DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    Duration delay =
        times.readyAt(state.instances().loadTimes(), view, adapter(active), time).since(time);
    return RequestWakes.schedule(
        state, active.with(active.progress().loading(view.identifier())), delay, time);
  }

  /**
   * Waits until some host may order loads if the request can still be answered then; otherwise
   * refuses it at once.
   */
  Step<DispatchState, DispatchEffect> awaitOwner(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Duration takeoverDelay = state.earliestTakeover().since(time);
    Duration wakeDelay =
        takeoverDelay.compareTo(OWNER_RETRY_DELAY) < 0 ? OWNER_RETRY_DELAY : takeoverDelay;
    Duration expected = wakeDelay.plus(OWNER_START_DELAY).plus(settings.coldLoad());
    boolean overdue = takeoverDelay.plus(MAXIMUM_TAKEOVER_DELAY).isNegative();
    boolean waits =
        overdue
            ? time.since(active.receivedAt()).compareTo(RequestTimeouts.loadTimeout(active)) <= 0
            : settings.waitPolicy().waits(expected, active.deadline().since(time));
    return waits
        ? RequestWakes.schedule(
            state,
            active.with(active.progress().waitingForOwner(time.plus(wakeDelay))),
            wakeDelay,
            time)
        : refuse(state, active, wakeDelay, time);
  }

  /**
   * Returns whether a request has waited for a load for as long as it may; the time without any
   * owner, in which no load could be ordered, does not count.
   */
  private static boolean loadTimeElapsed(ActiveRequest active, MonotonicTime time) {
    return loadWaitEnd(active).isBefore(time);
  }

  private static MonotonicTime loadWaitEnd(ActiveRequest active) {
    return active
        .progress()
        .loads()
        .ownerExpectedAt()
        .map(expectedAt -> expectedAt.plus(OWNER_START_DELAY))
        .orElse(active.receivedAt())
        .plus(RequestTimeouts.loadTimeout(active));
  }

  /** Wakes the requests that wait for a load once it is expected to be ready. */
  Step<DispatchState, DispatchEffect> onOrdered(
      DispatchState state, DispatchEvent.LoadOrdered ordered, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step =
        Step.of(
            state.withInstances(
                state
                    .instances()
                    .update(
                        ordered.instance(),
                        view ->
                            view.withAdapters(
                                view.adapters()
                                    .withExpectedLoad(
                                        ordered.adapter(), times.ordered(view, ordered, time))))));
    for (ActiveRequest active : waitingFor(state, ordered.instance(), ordered.adapter())) {
      step =
          step.andThen(
              next ->
                  RequestWakes.schedule(
                      next,
                      active.with(active.progress().withNextWake()),
                      readyIn(next, ordered, time),
                      time));
    }
    return step;
  }

  private Duration readyIn(
      DispatchState state, DispatchEvent.LoadOrdered ordered, MonotonicTime time) {
    return state
        .instances()
        .find(ordered.instance())
        .map(
            view ->
                times
                    .readyAt(state.instances().loadTimes(), view, ordered.adapter(), time)
                    .since(time))
        .orElse(ordered.readyIn());
  }

  /** Dispatches the requests again that wait for a load that was refused. */
  Step<DispatchState, DispatchEffect> onRefused(
      DispatchState state, DispatchEvent.LoadRefused refused, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step = Step.of(withRefusal(state, refused, time));
    for (ActiveRequest active : waitingFor(state, refused.instance(), refused.adapter())) {
      step = step.andThen(before -> redispatch.dispatch(before, active, time));
    }
    return step;
  }

  /** Dispatches the waiting requests again, since other instances have an owner now. */
  Step<DispatchState, DispatchEffect> onOwnersChanged(DispatchState state, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step = Step.of(state);
    for (ActiveRequest active : List.copyOf(state.requests().values())) {
      if (active.progress().phase() == Phase.WAITING) {
        // A request that was dispatched before may have taken the place of this one in the queue.
        step =
            step.andThen(
                before ->
                    before.requests().get(active.key()) == active
                        ? redispatch.dispatch(before, active, time)
                        : Step.of(before));
      }
    }
    return step;
  }

  /** Dispatches a request again whose load was not answered in time, or is ready. */
  Step<DispatchState, DispatchEffect> onWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    String instance = active.progress().instance().orElseThrow();
    Optional<InstanceView> view = state.instances().find(instance);
    boolean unanswered = view.isPresent() && !view.get().adapters().holds(adapter(active));
    return redispatch.dispatch(
        unanswered ? withLoadsRefused(state, instance, time) : state, active, time);
  }

  private Step<DispatchState, DispatchEffect> refuse(
      DispatchState state, ActiveRequest active, Duration expectedDelay, MonotonicTime time) {
    return RequestCompletion.fail(
        state,
        active,
        DispatchRefusal.Code.ADAPTER_UNAVAILABLE,
        settings.retryAfter().retryAfter(expectedDelay, active.request().hash()),
        time);
  }

  private static DispatchState withRefusal(
      DispatchState state, DispatchEvent.LoadRefused refused, MonotonicTime time) {
    DispatchState next = withLoadsRefused(state, refused.instance(), time);
    return refused.reason().equals(NO_SLOT)
        ? next.withInstances(
            next.instances()
                .update(
                    refused.instance(),
                    view -> view.withAdapters(view.adapters().withFreeSlots(0))))
        : next;
  }

  private static DispatchState withLoadsRefused(
      DispatchState state, String instance, MonotonicTime time) {
    return state.withInstances(
        state
            .instances()
            .update(
                instance,
                view ->
                    view.withAdapters(
                        view.adapters().withLoadsRefusedUntil(time.plus(LOAD_REFUSAL_DURATION)))));
  }

  private static AdapterKey adapter(ActiveRequest active) {
    return active.request().work().orElseThrow().adapter();
  }

  private static List<ActiveRequest> waitingFor(
      DispatchState state, String instance, AdapterKey adapter) {
    return state.requests().values().stream()
        .filter(active -> active.progress().phase() == Phase.LOADING)
        .filter(active -> active.progress().instance().equals(Optional.of(instance)))
        .filter(active -> adapter(active).equals(adapter))
        .toList();
  }
}
