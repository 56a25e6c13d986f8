package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.ServiceDefinition;

/**
 * Assigns requests to instances: chooses an instance, waits for its adapter, sends the request, and
 * retries it elsewhere if the instance stays silent.
 *
 * <p>Immutable and thread-safe. A request waits for at most one wake event; events with an older
 * number are ignored.
 */
final class RequestDispatcher {

  /** Timeout of a load request; covers several round trips between hosts. */
  private static final Duration LOAD_RESPONSE_TIMEOUT = Duration.ofMillis(300);

  /**
   * Time for which a server counts as refusing loads after a load request was refused or not
   * answered in time; owners change within seconds.
   */
  private static final Duration LOAD_REFUSAL_DURATION = Duration.ofMillis(500);

  /** Interval at which a request without a usable instance is dispatched again. */
  private static final Duration INSTANCE_RETRY_DELAY = Duration.ofMillis(60);

  /** Load requests that one request may trigger in a row. */
  private static final int MAXIMUM_LOAD_REQUESTS = 3;

  /** Delay before a request triggers loads again; each completed request may free a slot. */
  private static final Duration SLOT_RETRY_DELAY = Duration.ofMillis(150);

  /** Interval at which a request that needs an instance with an owner is dispatched again. */
  private static final Duration OWNER_RETRY_DELAY = Duration.ofMillis(100);

  /** Attempts per request, including those that are known not to have run. */
  private static final int MAXIMUM_ATTEMPTS = 4;

  private final DispatchSettings settings;
  private final InstanceChoice choice;

  RequestDispatcher(DispatchSettings settings, InstanceChoice choice) {
    this.settings = settings;
    this.choice = choice;
  }

  Step<DispatchState, DispatchEffect> dispatch(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.expired(time)) {
      return expire(state, active, time);
    }
    boolean retry = active.progress().attempts() > 0;
    if (retry && !mayRetry(state, active, time)) {
      return RequestCompletion.fail(state, active, DispatchRefusal.Code.NO_ROOM, time);
    }
    Optional<ServiceDefinition> service = state.catalogue().service(active.service());
    Optional<Candidate> chosen =
        choice.choose(active, service, candidates(state, active, time), time);
    if (chosen.isEmpty()) {
      return awaitInstance(state, active, time);
    }
    InstanceView view = chosen.get().view();
    return switch (chosen.get().loadRequirement()) {
      case NONE -> send(state, active, chosen.get(), time);
      case IN_PROGRESS -> awaitLoad(state, active, view, time);
      case REQUIRED ->
          view.owned() ? requestLoad(state, active, view, time) : awaitOwner(state, active, time);
    };
  }

  Step<DispatchState, DispatchEffect> onWake(
      DispatchState state, DispatchEvent.Wake wake, MonotonicTime time) {
    ActiveRequest active = state.requests().get(wake.requestKey());
    if (active == null || active.progress().wakeNumber() != wake.wakeNumber()) {
      return Step.of(state);
    }
    return switch (active.progress().phase()) {
      case WAITING -> dispatch(state, active, time);
      case LOADING -> onLoadWake(state, active, time);
      case SENT -> onAttemptWake(state, active, time);
    };
  }

  Step<DispatchState, DispatchEffect> onLoadOrdered(
      DispatchState state, DispatchEvent.LoadOrdered ordered, MonotonicTime time) {
    MonotonicTime readyAt = time.plus(ordered.readyIn());
    Step<DispatchState, DispatchEffect> step =
        Step.of(
            state.withInstances(
                state
                    .instances()
                    .update(
                        ordered.instance(),
                        view ->
                            view.withAdapters(
                                view.adapters().withExpectedLoad(ordered.adapter(), readyAt)))));
    for (ActiveRequest active : waitingForLoad(state, ordered.instance(), ordered.adapter())) {
      step =
          step.andThen(
              next ->
                  scheduleWake(
                      next, active.with(active.progress().withNextWake()), ordered.readyIn()));
    }
    return step;
  }

  Step<DispatchState, DispatchEffect> onLoadRefused(
      DispatchState state, DispatchEvent.LoadRefused refused, MonotonicTime time) {
    DispatchState next =
        state.withInstances(
            state
                .instances()
                .update(
                    refused.instance(),
                    view ->
                        view.withAdapters(
                            view.adapters()
                                .withLoadsRefusedUntil(time.plus(LOAD_REFUSAL_DURATION)))));
    Step<DispatchState, DispatchEffect> step = Step.of(next);
    for (ActiveRequest active : waitingForLoad(state, refused.instance(), refused.adapter())) {
      step = step.andThen(before -> dispatch(before, active, time));
    }
    return step;
  }

  private boolean mayRetry(DispatchState state, ActiveRequest active, MonotonicTime time) {
    Progress progress = active.progress();
    boolean runAllowed = progress.possibleRuns() == 0 || active.mayRunAgain();
    return runAllowed
        && progress.attempts() < MAXIMUM_ATTEMPTS
        && state.budget(settings, active.service(), time).allows();
  }

  private List<InstanceView> candidates(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Collection<InstanceView> all = state.instances().ofService(active.service());
    List<InstanceView> usable = new ArrayList<>();
    List<InstanceView> recentlyRemoved = new ArrayList<>();
    for (InstanceView view : all) {
      if (active.progress().excludedInstances().contains(view.identifier())
          || !holdsModel(active, view)) {
        continue;
      }
      if (view.acceptsRequests()) {
        usable.add(view);
      } else if (!view.instance().draining() && withinRemovalGrace(view, time)) {
        recentlyRemoved.add(view);
      }
    }
    return usable.isEmpty() ? recentlyRemoved : usable;
  }

  /** Returns whether an instance holds the base model of a request. */
  private static boolean holdsModel(ActiveRequest active, InstanceView view) {
    return active
        .request()
        .work()
        .map(work -> view.adapters().models().contains(work.adapter().model()))
        .orElse(true);
  }

  private boolean withinRemovalGrace(InstanceView view, MonotonicTime time) {
    return view.removedAt()
        .map(removedAt -> time.since(removedAt).compareTo(settings.removalGrace()) < 0)
        .orElse(false);
  }

  private Step<DispatchState, DispatchEffect> send(
      DispatchState state, ActiveRequest active, Candidate candidate, MonotonicTime time) {
    InstanceView view = candidate.view();
    Optional<ModelWork> work = active.request().work();
    InstanceLoad addedLoad = addedLoad(active, view);
    Progress progress = active.progress().sent(view.identifier(), addedLoad);
    InstanceView updated = view.withOwnLoad(view.ownLoad().plus(addedLoad));
    if (work.isPresent()) {
      long capacity = cacheTokens(state, active.service());
      updated =
          updated.withPrefixCache(
              updated.prefixCache().withPrompt(work.get(), active.prefixHashes(), capacity));
    }
    DispatchState next = state.withInstances(state.instances().with(updated));
    if (active.progress().attempts() > 0) {
      next =
          next.withBudget(active.service(), next.budget(settings, active.service(), time).spend());
    }
    ActiveRequest sent = active.with(progress);
    DispatchEffect send =
        new DispatchEffect.Send(
            active.request(),
            progress.attempts(),
            view.instance(),
            active.deadline().since(time),
            active.urgency(),
            active.account().map(AccountLimits::name),
            active.route().kind().stream(),
            active.route().kind().repeatable(),
            work.map(requested -> state.versions().of(requested.adapter())).orElse(0L),
            inputs(candidate, state));
    return Step.<DispatchState, DispatchEffect>of(next, send)
        .andThen(
            before ->
                scheduleWake(before, sent, RequestTimeouts.firstSilenceCheckDelay(sent, time)));
  }

  private Step<DispatchState, DispatchEffect> requestLoad(
      DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    if (active.progress().loadRequests() >= MAXIMUM_LOAD_REQUESTS) {
      return time.since(active.receivedAt()).compareTo(RequestTimeouts.loadTimeout(active)) > 0
          ? RequestCompletion.fail(state, active, DispatchRefusal.Code.ADAPTER_UNAVAILABLE, time)
          : scheduleWake(
              state,
              active.with(active.progress().withoutLoadRequests().waiting()),
              SLOT_RETRY_DELAY);
    }
    AdapterKey adapter = active.request().work().orElseThrow().adapter();
    ActiveRequest loading = active.with(active.progress().loading(view.identifier()));
    return Step.<DispatchState, DispatchEffect>of(
            state,
            new DispatchEffect.RequestLoad(
                view.identifier(), adapter, active.request().identifier()))
        .andThen(before -> scheduleWake(before, loading, LOAD_RESPONSE_TIMEOUT));
  }

  /**
   * Waits until some host may order loads at the instance; refuses the request with a Retry-After
   * if that takes too long.
   */
  private static Step<DispatchState, DispatchEffect> awaitOwner(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Duration takeoverDelay = state.earliestTakeover().since(time);
    Duration delay =
        takeoverDelay.compareTo(OWNER_RETRY_DELAY) < 0 ? OWNER_RETRY_DELAY : takeoverDelay;
    Duration elapsed = time.since(active.receivedAt());
    return elapsed.plus(delay).compareTo(RequestTimeouts.loadTimeout(active)) > 0
        ? RequestCompletion.fail(
            state, active, DispatchRefusal.Code.ADAPTER_UNAVAILABLE, delay, time)
        : scheduleWake(state, active.with(active.progress().waiting()), OWNER_RETRY_DELAY);
  }

  private Step<DispatchState, DispatchEffect> awaitLoad(
      DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    AdapterKey adapter = active.request().work().orElseThrow().adapter();
    Duration delay = view.adapters().readyAt().get(adapter).since(time);
    return scheduleWake(state, active.with(active.progress().loading(view.identifier())), delay);
  }

  private Step<DispatchState, DispatchEffect> awaitInstance(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!active.progress().excludedInstances().isEmpty() && active.progress().possibleRuns() == 0) {
      ActiveRequest retried = active.with(active.progress().withoutExclusions().waiting());
      return scheduleWake(state, retried, INSTANCE_RETRY_DELAY);
    }
    return RequestCompletion.fail(state, active, DispatchRefusal.Code.NO_INSTANCE, time);
  }

  private Step<DispatchState, DispatchEffect> onLoadWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    String instance = active.progress().instance().orElseThrow();
    AdapterKey adapter = active.request().work().orElseThrow().adapter();
    Optional<InstanceView> view = state.instances().find(instance);
    if (view.isPresent() && !view.get().adapters().holds(adapter)) {
      DispatchState next =
          state.withInstances(
              state
                  .instances()
                  .with(
                      view.get()
                          .withAdapters(
                              view.get()
                                  .adapters()
                                  .withLoadsRefusedUntil(time.plus(LOAD_REFUSAL_DURATION)))));
      return dispatch(next, active, time);
    }
    return dispatch(state, active, time);
  }

  private Step<DispatchState, DispatchEffect> onAttemptWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.expired(time)) {
      return expire(state, active, time);
    }
    boolean silent = !active.progress().responseStarted();
    if (!silent || !active.mayRunAgain()) {
      return scheduleWake(
          state, active.with(active.progress().withNextWake()), active.deadline().since(time));
    }
    DispatchState penalized = withSilentAttempt(state, active, time);
    return redispatchSilent(penalized, active, time)
        .orElseGet(
            () ->
                scheduleWake(
                    penalized,
                    active.with(active.progress().withNextWake()),
                    RequestTimeouts.nextSilenceCheckDelay(active, time)));
  }

  /**
   * Leaves a server whose stream has become silent for one that can accept the request at once;
   * empty if there is none.
   */
  Optional<Step<DispatchState, DispatchEffect>> leaveSilentServer(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return active.mayRunAgain()
        ? redispatchSilent(withSilentAttempt(state, active, time), active, time)
        : Optional.empty();
  }

  private static DispatchState withSilentAttempt(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return state.withInstances(
        state
            .instances()
            .update(
                active.progress().instance().orElseThrow(),
                view -> view.withHealth(view.health().failed(time, true))));
  }

  /**
   * Sends a request to another server if that can accept it without a load. Otherwise the request
   * stays with its silent server, which may still respond.
   */
  private Optional<Step<DispatchState, DispatchEffect>> redispatchSilent(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!mayRetry(state, active, time)) {
      return Optional.empty();
    }
    DispatchState released = RequestCompletion.withoutAddedLoad(state, active);
    String silent = active.progress().instance().orElseThrow();
    ActiveRequest unassigned =
        active.with(
            active.progress().withAttemptEnded(active.progress().history().withExcluded(silent)));
    DispatchEffect cancel =
        new DispatchEffect.CancelAttempt(active.request(), active.progress().attempts(), "silent");
    return choice
        .choose(
            unassigned,
            state.catalogue().service(active.service()),
            candidates(released, unassigned, time),
            time)
        .filter(other -> other.loadRequirement() == Candidate.LoadRequirement.NONE)
        .map(
            other ->
                Step.<DispatchState, DispatchEffect>of(released, cancel)
                    .andThen(before -> send(before, unassigned, other, time)));
  }

  private Step<DispatchState, DispatchEffect> expire(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.progress().phase() == Phase.SENT) {
      Step<DispatchState, DispatchEffect> cancelled =
          Step.of(
              state,
              new DispatchEffect.CancelAttempt(
                  active.request(), active.progress().attempts(), "deadline"));
      return cancelled.andThen(
          next -> RequestCompletion.fail(next, active, DispatchRefusal.Code.TIMED_OUT, time));
    }
    DispatchRefusal.Code code =
        active.progress().possibleRuns() > 0
            ? DispatchRefusal.Code.TIMED_OUT
            : DispatchRefusal.Code.EXPIRED_UNSENT;
    return RequestCompletion.fail(state, active, code, time);
  }

  private static InstanceLoad addedLoad(ActiveRequest active, InstanceView view) {
    Optional<ModelWork> work = active.request().work();
    if (work.isEmpty()) {
      return new InstanceLoad(1, 0, 0);
    }
    int cached = view.prefixCache().cachedTokens(work.get(), active.prefixHashes());
    return new InstanceLoad(
        1, Math.max(0, work.get().promptTokens() - cached), work.get().totalTokens());
  }

  private static long cacheTokens(DispatchState state, String service) {
    return state
        .catalogue()
        .service(service)
        .flatMap(ServiceDefinition::engine)
        .map(EngineProfile::cacheTokens)
        .orElse(0L);
  }

  private static List<ActiveRequest> waitingForLoad(
      DispatchState state, String instance, AdapterKey adapter) {
    return state.requests().values().stream()
        .filter(active -> active.progress().phase() == Phase.LOADING)
        .filter(active -> active.progress().instance().equals(Optional.of(instance)))
        .filter(active -> active.request().work().orElseThrow().adapter().equals(adapter))
        .toList();
  }

  private static Step<DispatchState, DispatchEffect> scheduleWake(
      DispatchState state, ActiveRequest active, Duration delay) {
    return Step.of(
        state.withRequest(active),
        new DispatchEffect.WakeAfter(active.key(), active.progress().wakeNumber(), delay));
  }

  private static String inputs(Candidate candidate, DispatchState state) {
    InstanceLoad load = candidate.view().totalLoad();
    return String.format(
        Locale.ROOT,
        "catalogue=%d cost_ms=%.0f running=%d unread=%d orders=%d",
        state.catalogue().version(),
        candidate.cost(),
        load.running(),
        load.pendingPromptTokens(),
        candidate.view().adapters().orderCount());
  }
}
