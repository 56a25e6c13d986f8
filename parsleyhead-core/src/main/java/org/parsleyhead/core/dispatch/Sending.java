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
 * Chooses instances, waits for adapters and sends.
 *
 * <p>Immutable and thread-safe.
 */
final class Sending {

  /** How long the answer to a load request is waited for: some round trips between hosts. */
  private static final Duration LOAD_ANSWER_TIMEOUT = Duration.ofMillis(300);

  /** How long a server is not asked for loads after it was refused: owners change in seconds. */
  private static final Duration LOAD_REFUSAL_MEMORY = Duration.ofMillis(500);

  /** How long a request without a usable instance waits before it looks again. */
  private static final Duration ROOM_DELAY = Duration.ofMillis(60);

  /** Most loads that are asked for on behalf of one request in a row. */
  private static final int MOST_LOAD_REQUESTS = 3;

  /** How long a request waits before it asks again for loads: slots free up with each answer. */
  private static final Duration SLOT_DELAY = Duration.ofMillis(150);

  /** How long a request waits before it looks again for a server with an owner. */
  private static final Duration OWNER_DELAY = Duration.ofMillis(100);

  /** Most sends of one request; those that surely did not run included. */
  private static final int MOST_SENDS = 4;

  private final DispatchSettings settings;
  private final InstanceChoice choice;

  Sending(DispatchSettings settings, InstanceChoice choice) {
    this.settings = settings;
    this.choice = choice;
  }

  Step<DispatchState, DispatchEffect> choose(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.expired(time)) {
      return expire(state, active, time);
    }
    boolean repeated = active.progress().sends() > 0;
    if (repeated && !mayRepeat(state, active, time)) {
      return Conclusions.giveUp(state, active, DispatchRefusal.Code.NO_ROOM, time);
    }
    Optional<ServiceDefinition> service = state.catalogue().service(active.service());
    Optional<Candidate> chosen =
        choice.choose(active, service, candidates(state, active, time), time);
    if (chosen.isEmpty()) {
      return await(state, active, time);
    }
    InstanceView view = chosen.get().view();
    return switch (chosen.get().load()) {
      case NONE -> send(state, active, chosen.get(), time);
      case COMING -> awaitArrival(state, active, view, time);
      case ORDER ->
          view.owned() ? askLoad(state, active, view, time) : awaitOwner(state, active, time);
    };
  }

  Step<DispatchState, DispatchEffect> wake(
      DispatchState state, DispatchEvent.Wake wake, MonotonicTime time) {
    ActiveRequest active = state.requests().get(wake.requestKey());
    if (active == null || active.progress().wakeNumber() != wake.wakeNumber()) {
      return Step.of(state);
    }
    return switch (active.progress().phase()) {
      case WAITING -> choose(state, active, time);
      case LOADING -> loadingWake(state, active, time);
      case SENT -> sentWake(state, active, time);
    };
  }

  Step<DispatchState, DispatchEffect> loadOrdered(
      DispatchState state, DispatchEvent.LoadOrdered ordered, MonotonicTime time) {
    MonotonicTime readyAt = time.plus(ordered.readyIn());
    Step<DispatchState, DispatchEffect> step =
        Step.of(
            state.withInstances(
                state
                    .instances()
                    .change(
                        ordered.instance(),
                        view ->
                            view.withAdapters(
                                view.adapters().expect(ordered.adapter(), readyAt)))));
    for (ActiveRequest active : waitingFor(state, ordered.instance(), ordered.adapter())) {
      step =
          step.andThen(
              next -> state(next, active.with(active.progress().nextWake()), ordered.readyIn()));
    }
    return step;
  }

  Step<DispatchState, DispatchEffect> loadRefused(
      DispatchState state, DispatchEvent.LoadRefused refused, MonotonicTime time) {
    DispatchState next =
        state.withInstances(
            state
                .instances()
                .change(
                    refused.instance(),
                    view ->
                        view.withAdapters(
                            view.adapters().refuseLoads(time.plus(LOAD_REFUSAL_MEMORY)))));
    Step<DispatchState, DispatchEffect> step = Step.of(next);
    for (ActiveRequest active : waitingFor(state, refused.instance(), refused.adapter())) {
      step = step.andThen(before -> choose(before, active, time));
    }
    return step;
  }

  private boolean mayRepeat(DispatchState state, ActiveRequest active, MonotonicTime time) {
    Progress progress = active.progress();
    boolean runAllowed = progress.possibleRuns() == 0 || active.mayRunAgain();
    return runAllowed
        && progress.sends() < MOST_SENDS
        && state.budget(settings, active.service(), time).allows();
  }

  private List<InstanceView> candidates(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Collection<InstanceView> all = state.instances().ofService(active.service());
    List<InstanceView> usable = new ArrayList<>();
    List<InstanceView> removed = new ArrayList<>();
    for (InstanceView view : all) {
      if (active.progress().excluded().contains(view.identifier()) || !suits(active, view)) {
        continue;
      }
      if (view.takesRequests()) {
        usable.add(view);
      } else if (!view.instance().draining() && withinGrace(view, time)) {
        removed.add(view);
      }
    }
    return usable.isEmpty() ? removed : usable;
  }

  /** Tells whether an instance holds the base model of a request. */
  private static boolean suits(ActiveRequest active, InstanceView view) {
    return active
        .request()
        .work()
        .map(work -> view.adapters().models().contains(work.adapter().model()))
        .orElse(true);
  }

  private boolean withinGrace(InstanceView view, MonotonicTime time) {
    return view.removedAt()
        .map(removedAt -> time.since(removedAt).compareTo(settings.removalGrace()) < 0)
        .orElse(false);
  }

  private Step<DispatchState, DispatchEffect> send(
      DispatchState state, ActiveRequest active, Candidate candidate, MonotonicTime time) {
    InstanceView view = candidate.view();
    Optional<ModelWork> work = active.request().work();
    SentLoad share = share(active, view);
    Progress progress = active.progress().sent(view.identifier(), share, time);
    InstanceView loaded = view.withOwn(view.own().plus(share));
    if (work.isPresent()) {
      long capacity = cacheTokens(state, active.service());
      loaded =
          loaded.withPrompts(loaded.prompts().remember(work.get(), active.beginnings(), capacity));
    }
    DispatchState next = state.withInstances(state.instances().with(loaded));
    if (active.progress().sends() > 0) {
      next =
          next.withBudget(active.service(), next.budget(settings, active.service(), time).spend());
    }
    ActiveRequest sent = active.with(progress);
    DispatchEffect send =
        new DispatchEffect.Send(
            active.request(),
            progress.sends(),
            view.instance(),
            active.deadline().since(time),
            active.urgency(),
            active.account().map(AccountLimits::name),
            active.route().kind().stream(),
            active.route().kind().repeatable(),
            work.map(asked -> state.versions().of(asked.adapter())).orElse(0L),
            inputs(candidate, state));
    return Step.<DispatchState, DispatchEffect>of(next, send)
        .andThen(before -> state(before, sent, Patience.untilFirstCheck(sent, time)));
  }

  private Step<DispatchState, DispatchEffect> askLoad(
      DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    if (active.progress().loadRequests() >= MOST_LOAD_REQUESTS) {
      return time.since(active.receivedAt()).compareTo(Patience.forLoad(active)) > 0
          ? Conclusions.giveUp(state, active, DispatchRefusal.Code.ADAPTER_UNAVAILABLE, time)
          : state(
              state,
              active.with(active.progress().withoutLoadRequests().waiting(time)),
              SLOT_DELAY);
    }
    AdapterKey adapter = active.request().work().orElseThrow().adapter();
    ActiveRequest loading = active.with(active.progress().loading(view.identifier(), time));
    return Step.<DispatchState, DispatchEffect>of(
            state,
            new DispatchEffect.AskLoad(view.identifier(), adapter, active.request().identifier()))
        .andThen(before -> state(before, loading, LOAD_ANSWER_TIMEOUT));
  }

  /** Waits for a host that may order a load; asks the caller to come back if none is in time. */
  private static Step<DispatchState, DispatchEffect> awaitOwner(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Duration ownersIn = state.ownersAt().since(time);
    Duration least = ownersIn.compareTo(OWNER_DELAY) < 0 ? OWNER_DELAY : ownersIn;
    Duration elapsed = time.since(active.receivedAt());
    return elapsed.plus(least).compareTo(Patience.forLoad(active)) > 0
        ? Conclusions.giveUp(state, active, DispatchRefusal.Code.ADAPTER_UNAVAILABLE, least, time)
        : state(state, active.with(active.progress().waiting(time)), OWNER_DELAY);
  }

  private Step<DispatchState, DispatchEffect> awaitArrival(
      DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    AdapterKey adapter = active.request().work().orElseThrow().adapter();
    Duration delay = view.adapters().readyAt().get(adapter).since(time);
    return state(state, active.with(active.progress().loading(view.identifier(), time)), delay);
  }

  private Step<DispatchState, DispatchEffect> await(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!active.progress().excluded().isEmpty() && active.progress().possibleRuns() == 0) {
      ActiveRequest again = active.with(active.progress().withoutExclusions().waiting(time));
      return state(state, again, ROOM_DELAY);
    }
    return Conclusions.giveUp(state, active, DispatchRefusal.Code.NO_INSTANCE, time);
  }

  private Step<DispatchState, DispatchEffect> loadingWake(
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
                              view.get().adapters().refuseLoads(time.plus(LOAD_REFUSAL_MEMORY)))));
      return choose(next, active, time);
    }
    return choose(state, active, time);
  }

  private Step<DispatchState, DispatchEffect> sentWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.expired(time)) {
      return expire(state, active, time);
    }
    boolean silent = !active.progress().begun();
    if (!silent || !active.mayRunAgain()) {
      return state(state, active.with(active.progress().nextWake()), active.deadline().since(time));
    }
    DispatchState warned =
        state.withInstances(
            state
                .instances()
                .change(
                    active.progress().instance().orElseThrow(),
                    view -> view.withHealth(view.health().failed(time, true))));
    return leaveSilent(warned, active, time)
        .orElseGet(
            () ->
                state(
                    warned,
                    active.with(active.progress().nextWake()),
                    Patience.untilNextCheck(active, time)));
  }

  /**
   * Sends a request elsewhere if another server can take it at once; else its server may answer.
   */
  private Optional<Step<DispatchState, DispatchEffect>> leaveSilent(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!mayRepeat(state, active, time)) {
      return Optional.empty();
    }
    DispatchState freedState = Conclusions.withoutShare(state, active);
    ActiveRequest freed = active.with(active.progress().ended(false, true));
    DispatchEffect cancel =
        new DispatchEffect.CancelAttempt(active.request(), active.progress().sends(), "silent");
    return choice
        .choose(
            freed,
            state.catalogue().service(active.service()),
            candidates(freedState, freed, time),
            time)
        .filter(other -> other.load() == Candidate.LoadNeed.NONE)
        .map(
            other ->
                Step.<DispatchState, DispatchEffect>of(freedState, cancel)
                    .andThen(before -> send(before, freed, other, time)));
  }

  private Step<DispatchState, DispatchEffect> expire(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.progress().phase() == Phase.SENT) {
      Step<DispatchState, DispatchEffect> cancelled =
          Step.of(
              state,
              new DispatchEffect.CancelAttempt(
                  active.request(), active.progress().sends(), "deadline"));
      return cancelled.andThen(
          next -> Conclusions.giveUp(next, active, DispatchRefusal.Code.TIMED_OUT, time));
    }
    DispatchRefusal.Code code =
        active.progress().possibleRuns() > 0
            ? DispatchRefusal.Code.TIMED_OUT
            : DispatchRefusal.Code.EXPIRED_UNSENT;
    return Conclusions.giveUp(state, active, code, time);
  }

  private static SentLoad share(ActiveRequest active, InstanceView view) {
    Optional<ModelWork> work = active.request().work();
    if (work.isEmpty()) {
      return new SentLoad(1, 0, 0);
    }
    int kept = view.prompts().keptTokens(work.get(), active.beginnings());
    return new SentLoad(1, Math.max(0, work.get().promptTokens() - kept), work.get().totalTokens());
  }

  private static long cacheTokens(DispatchState state, String service) {
    return state
        .catalogue()
        .service(service)
        .flatMap(ServiceDefinition::engine)
        .map(EngineProfile::cacheTokens)
        .orElse(0L);
  }

  private static List<ActiveRequest> waitingFor(
      DispatchState state, String instance, AdapterKey adapter) {
    return state.requests().values().stream()
        .filter(active -> active.progress().phase() == Phase.LOADING)
        .filter(active -> active.progress().instance().equals(Optional.of(instance)))
        .filter(active -> active.request().work().orElseThrow().adapter().equals(adapter))
        .toList();
  }

  private static Step<DispatchState, DispatchEffect> state(
      DispatchState state, ActiveRequest active, Duration delay) {
    return Step.of(
        state.withRequest(active),
        new DispatchEffect.WakeAfter(active.key(), active.progress().wakeNumber(), delay));
  }

  private static String inputs(Candidate candidate, DispatchState state) {
    SentLoad load = candidate.view().load();
    return String.format(
        Locale.ROOT,
        "catalogue=%d cost_ms=%.0f running=%d unread=%d orders=%d",
        state.catalogue().version(),
        candidate.cost(),
        load.running(),
        load.unreadTokens(),
        candidate.view().adapters().orderCount());
  }
}
