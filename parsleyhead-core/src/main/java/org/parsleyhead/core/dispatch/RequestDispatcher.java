package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.overload.WaitLine;
import org.parsleyhead.core.quarantine.Verdict;

/**
 * Takes admitted requests through their next step: refuses them, lets them wait ({@link
 * WaitingRequests}, {@link InstanceWaits}, {@link AdapterLoads}), or places and sends them ({@link
 * RequestSends}). {@link SilentAttempts} takes back what was sent; {@link RequestCompletion} ends
 * it.
 *
 * <p>Immutable and thread-safe. A request waits for at most one wake event; events with an older
 * number are ignored.
 */
final class RequestDispatcher {

  /** Expected delay until a server has free capacity; most requests take about as long. */
  private static final Duration EXPECTED_CAPACITY_DELAY = Duration.ofMillis(150);

  private final DispatchSettings settings;
  private final InstanceChoice choice;
  private final AdapterLoads loads;
  private final RequestRetries retries;
  private final EligibleInstances eligible;
  private final WaitingRequests waiting;
  private final InstanceWaits instanceWaits;
  private final RequestSends sends;
  private final SilentAttempts silentAttempts;

  RequestDispatcher(DispatchSettings settings, InstanceChoice choice) {
    this.settings = settings;
    this.choice = choice;
    this.waiting = new WaitingRequests(settings, this::dispatch);
    this.loads = new AdapterLoads(settings, waiting, this::dispatch);
    this.retries = new RequestRetries(settings);
    this.eligible = new EligibleInstances(settings);
    this.instanceWaits = new InstanceWaits(settings, waiting);
    this.sends = new RequestSends(settings, retries, eligible);
    this.silentAttempts = new SilentAttempts(retries, this::chooseOther);
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
    Optional<Candidate> chosen = choose(state, active, time);
    if (chosen.isEmpty()) {
      return eligible
          .withoutCandidates(state, active, time)
          .orElseGet(() -> instanceWaits.await(state, active, time));
    }
    InstanceView view = chosen.get().view();
    return switch (chosen.get().loadRequirement()) {
      case NONE -> sends.send(state, active, chosen.get(), time);
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
      case SENT ->
          active.expired(time)
              ? expire(state, active, time)
              : silentAttempts.onWake(state, active, time);
    };
  }

  /** Returns the handling of attempts whose servers are silent. */
  SilentAttempts silentAttempts() {
    return silentAttempts;
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

  private Optional<Candidate> choose(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return choice.choose(
        active,
        state.catalogue().service(active.service()),
        candidates(state, active, time),
        PlacementContext.of(state),
        time);
  }

  private Optional<Candidate> chooseOther(
      DispatchState state,
      ActiveRequest active,
      DispatchState released,
      ActiveRequest unassigned,
      MonotonicTime time) {
    return verdict(state, active, time).decision() == Verdict.Decision.SEND
        ? choose(released, unassigned, time)
        : Optional.empty();
  }

  private List<InstanceView> candidates(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    Collection<InstanceView> all = state.instances().ofService(active.service());
    List<InstanceView> usable = new ArrayList<>();
    List<InstanceView> recentlyRemoved = new ArrayList<>();
    for (InstanceView view : all) {
      if (!active.maySendTo(view.identifier())
          || !holdsModel(active, view)
          || view.health().refuses(time)
          || !eligible.allows(state, active, view, time)) {
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
  static boolean holdsModel(ActiveRequest active, InstanceView view) {
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
}
