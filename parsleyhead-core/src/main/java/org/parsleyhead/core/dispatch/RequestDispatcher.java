package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.overload.WaitLine;
import org.parsleyhead.core.quarantine.Verdict;
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

  /** Interval at which a request without a usable instance is dispatched again. */
  private static final Duration INSTANCE_RETRY_DELAY = Duration.ofMillis(60);

  /** Expected delay until a server has free capacity; most requests take about as long. */
  private static final Duration EXPECTED_CAPACITY_DELAY = Duration.ofMillis(150);

  private final DispatchSettings settings;
  private final InstanceChoice choice;
  private final AdapterLoads loads;
  private final RequestRetries retries;
  private final WaitingRequests waiting;

  RequestDispatcher(DispatchSettings settings, InstanceChoice choice) {
    this.settings = settings;
    this.choice = choice;
    this.waiting = new WaitingRequests(settings, this::dispatch);
    this.loads = new AdapterLoads(settings, waiting, this::dispatch);
    this.retries = new RequestRetries(settings);
  }

  Step<DispatchState, DispatchEffect> dispatch(
      DispatchState before, ActiveRequest active, MonotonicTime time) {
    DispatchState state = before.withWaiting(before.waiting().without(active.key()));
    if (active.expired(time)) {
      return expire(state, active, time);
    }
    if (waiting.hopeless(active, time)) {
      return refuse(state, active, DispatchRefusal.Code.NO_ROOM, time);
    }
    if (active.progress().attempts() > 0 && !retries.allows(state, active, time)) {
      return awaitRetry(state, active, time);
    }
    Verdict verdict = verdict(state, active, time);
    return switch (verdict.decision()) {
      case SEND -> place(state, active, time);
      case SEND_AS_TRIAL -> placeAsTrial(state, active, verdict, time);
      case REFUSE -> RequestCompletion.refuse(state, active, verdict, time);
    };
  }

  /** Lets a request that has not run wait for a retry in the budget of its service. */
  private Step<DispatchState, DispatchEffect> awaitRetry(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    WaitLine line = new WaitLine(WaitLine.Capacity.RETRY, active.service());
    MonotonicTime giveUpAt = RequestTimeouts.retryWaitEnd(active);
    boolean waits =
        active.mayBeSentAgain()
            && active.progress().possibleRuns() == 0
            && !active.progress().responseStarted()
            && waiting.mayWait(state, active, line, giveUpAt, time);
    return waits
        ? waiting.enqueue(state, active, line, giveUpAt, time)
        : RequestCompletion.fail(
            state,
            active,
            DispatchRefusal.Code.NO_ROOM,
            waiting.retryAfter(state, active, line),
            time);
  }

  private Verdict verdict(DispatchState state, ActiveRequest active, MonotonicTime time) {
    return state
        .quarantine()
        .verdict(
            QuarantineHandler.traits(active.request()),
            settings.trialRight(),
            state.peers().liveHosts(),
            time);
  }

  private Step<DispatchState, DispatchEffect> placeAsTrial(
      DispatchState state, ActiveRequest active, Verdict verdict, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> placed = place(state, active, time);
    boolean sent = placed.effects().stream().anyMatch(DispatchEffect.Send.class::isInstance);
    return sent
        ? placed.andThen(
            next -> Step.of(next.withQuarantine(next.quarantine().withTrial(verdict, time))))
        : placed;
  }

  private Step<DispatchState, DispatchEffect> place(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Optional<ServiceDefinition> service = state.catalogue().service(active.service());
    Optional<Candidate> chosen =
        choice.choose(active, service, candidates(state, active, time), time);
    if (chosen.isEmpty()) {
      return awaitInstance(state, active, time);
    }
    InstanceView view = chosen.get().view();
    return switch (chosen.get().loadRequirement()) {
      case NONE -> send(state, active, chosen.get(), time);
      case IN_PROGRESS -> loads.await(state, active, view, time);
      case REQUIRED ->
          view.owned()
              ? loads.request(state, active, view, time)
              : loads.awaitOwner(state, active, time);
    };
  }

  Step<DispatchState, DispatchEffect> onWake(
      DispatchState state, DispatchEvent.Wake wake, MonotonicTime time) {
    ActiveRequest active = state.requests().get(wake.requestKey());
    if (active == null || active.progress().wakeNumber() != wake.wakeNumber()) {
      return Step.of(state);
    }
    return switch (active.progress().phase()) {
      case WAITING ->
          waiting.onWake(state, active, time).orElseGet(() -> dispatch(state, active, time));
      case LOADING -> loads.onWake(state, active, time);
      case SENT -> onAttemptWake(state, active, time);
    };
  }

  /** Returns the handling of the requests that wait for capacity. */
  WaitingRequests waiting() {
    return waiting;
  }

  /** Returns the handling of the loads that requests wait for. */
  AdapterLoads loads() {
    return loads;
  }

  /** Fails a request that cannot be retried now, with a Retry-After if it has not run. */
  Step<DispatchState, DispatchEffect> refuse(
      DispatchState state, ActiveRequest active, DispatchRefusal.Code code, MonotonicTime time) {
    Duration retryAfter =
        settings.retryAfter().retryAfter(EXPECTED_CAPACITY_DELAY, active.request().hash());
    return RequestCompletion.fail(state, active, code, retryAfter, time);
  }

  private List<InstanceView> candidates(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Collection<InstanceView> all = state.instances().ofService(active.service());
    List<InstanceView> usable = new ArrayList<>();
    List<InstanceView> recentlyRemoved = new ArrayList<>();
    for (InstanceView view : all) {
      if (!active.maySendTo(view.identifier())
          || !holdsModel(active, view)
          || view.health().refuses(time)) {
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
      next = retries.charge(next, active, time);
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
            inputs(active, candidate, state));
    return Step.<DispatchState, DispatchEffect>of(next, send)
        .andThen(
            before ->
                RequestWakes.schedule(
                    before, sent, RequestTimeouts.firstSilenceCheckDelay(sent, time), time));
  }

  private Step<DispatchState, DispatchEffect> awaitInstance(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!active.progress().excludedInstances().isEmpty() && active.progress().possibleRuns() == 0) {
      ActiveRequest retried = active.with(active.progress().withoutExclusions().waiting());
      return RequestWakes.schedule(state, retried, INSTANCE_RETRY_DELAY, time);
    }
    boolean starting =
        state.startup().open(time) && state.instances().ofService(active.service()).isEmpty();
    if (starting) {
      return RequestWakes.schedule(
          state, active.with(active.progress().waiting()), INSTANCE_RETRY_DELAY, time);
    }
    return untilAccepted(state, active, time)
        .map(delay -> awaitAcceptance(state, active, delay, time))
        .orElseGet(() -> awaitOther(state, active, time));
  }

  /** Lets a withdrawn request wait for any server while its caller still has time to repeat it. */
  private Step<DispatchState, DispatchEffect> awaitOther(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Duration waited = time.since(active.receivedAt()).plus(INSTANCE_RETRY_DELAY);
    boolean waits =
        active.progress().history().retryReserved()
            && !active.progress().responseStarted()
            && settings.waitPolicy().waits(waited, active.deadline().since(active.receivedAt()));
    return waits
        ? RequestWakes.schedule(
            state,
            active.with(active.progress().withoutExclusions().waiting()),
            INSTANCE_RETRY_DELAY,
            time)
        : refuse(state, active, DispatchRefusal.Code.NO_INSTANCE, time);
  }

  /** Returns when the first instance accepts requests again; empty if none says so. */
  private static Optional<Duration> untilAccepted(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return state.instances().ofService(active.service()).stream()
        .filter(view -> view.acceptsRequests() && view.health().refuses(time))
        .map(view -> view.health().refusesUntil().since(time))
        .min(Comparator.naturalOrder());
  }

  private Step<DispatchState, DispatchEffect> awaitAcceptance(
      DispatchState state, ActiveRequest active, Duration delay, MonotonicTime time) {
    if (settings.waitPolicy().waits(delay, active.deadline().since(time))) {
      return waiting.enqueue(
          state,
          active,
          new WaitLine(WaitLine.Capacity.SERVER, active.service()),
          time.plus(delay),
          time);
    }
    Duration retryAfter = settings.retryAfter().retryAfter(delay, active.request().hash());
    return RequestCompletion.fail(state, active, DispatchRefusal.Code.NO_ROOM, retryAfter, time);
  }

  private Step<DispatchState, DispatchEffect> onAttemptWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.expired(time)) {
      return expire(state, active, time);
    }
    boolean silent = !active.progress().assignment().answering();
    if (!silent || !active.mayRunAgain()) {
      return RequestWakes.schedule(
          state,
          active.with(active.progress().withNextWake()),
          active.deadline().since(time),
          time);
    }
    DispatchState penalized = withSilentAttempt(state, active, time);
    ActiveRequest waking = active.with(active.progress().withNextWake());
    return (acceptedElsewhere(penalized, active, time)
            ? leave(penalized, waking, time)
            : Step.<DispatchState, DispatchEffect>of(penalized.withRequest(waking)))
        .andThen(
            before ->
                RequestWakes.schedule(
                    before,
                    before.requests().get(active.key()),
                    RequestTimeouts.nextSilenceCheckDelay(active, time),
                    time));
  }

  /** Leaves a server whose stream has become silent if another one can accept it at once. */
  Step<DispatchState, DispatchEffect> leaveSilentServer(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!active.mayRunAgain()) {
      return Step.of(state);
    }
    DispatchState penalized = withSilentAttempt(state, active, time);
    return acceptedElsewhere(penalized, active, time)
        ? leave(penalized, active, time)
        : Step.of(state);
  }

  /** Withdraws an attempt, with a retry in reserve for the next one. */
  private Step<DispatchState, DispatchEffect> leave(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    ActiveRequest leaving = active.with(active.progress().withRetryReserved(true));
    DispatchState charged = retries.charge(state, active, time);
    return Step.of(charged.withRequest(leaving), leaving.withdrawal("silent"));
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
   * Returns whether another server can accept a request without a load. Otherwise the request stays
   * with its silent server, which may still respond.
   */
  private boolean acceptedElsewhere(DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (!retries.allows(state, active, time)
        || verdict(state, active, time).decision() != Verdict.Decision.SEND) {
      return false;
    }
    DispatchState released = RequestCompletion.withoutAddedLoad(state, active);
    String silent = active.progress().instance().orElseThrow();
    ActiveRequest unassigned =
        active.with(
            active.progress().withAttemptEnded(active.progress().history().withExcluded(silent)));
    return choice
        .choose(
            unassigned,
            state.catalogue().service(active.service()),
            candidates(released, unassigned, time),
            time)
        .filter(other -> other.loadRequirement() == Candidate.LoadRequirement.NONE)
        .isPresent();
  }

  private Step<DispatchState, DispatchEffect> expire(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    if (active.progress().phase() == Phase.SENT) {
      Step<DispatchState, DispatchEffect> cancelled =
          Step.of(
              state,
              new DispatchEffect.CancelAttempt(
                  active.request(), active.progress().attempts(), "deadline"));
      return cancelled.andThen(next -> refuse(next, active, DispatchRefusal.Code.TIMED_OUT, time));
    }
    DispatchRefusal.Code code =
        active.progress().possibleRuns() > 0
            ? DispatchRefusal.Code.TIMED_OUT
            : DispatchRefusal.Code.EXPIRED_UNSENT;
    return refuse(state, active, code, time);
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

  private static String inputs(ActiveRequest active, Candidate candidate, DispatchState state) {
    InstanceLoad load = candidate.view().totalLoad();
    return "catalogue="
        + state.catalogue().version()
        + " admitted_by="
        + active.catalogueVersion()
        + " cost_ms="
        + Math.round(candidate.cost())
        + " running="
        + load.running()
        + " unread="
        + load.pendingPromptTokens()
        + " orders="
        + candidate.view().adapters().orderCount();
  }
}
