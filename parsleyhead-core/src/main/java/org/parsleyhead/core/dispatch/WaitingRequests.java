package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.ClientAccountName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.overload.DeadlineEstimate;
import org.parsleyhead.core.overload.QueuedRequest;
import org.parsleyhead.core.overload.WaitLine;
import org.parsleyhead.core.overload.WaitingQueue;
import org.parsleyhead.core.serving.AccountLimits;

/**
 * Lets requests wait for capacity in the order of their ranks, and dispatches the first of a line
 * when there may be capacity for it.
 *
 * <p>Immutable and thread-safe. The first request of a line looks for capacity at an interval; the
 * others wake only when they give up. A request that is dispatched again leaves its line first.
 */
final class WaitingRequests {

  /** Interval at which the first request of a line looks for capacity. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(150);

  /** Requests of one line that are dispatched for one event, which bounds its duration. */
  private static final int MAXIMUM_DISPATCHES = 8;

  /**
   * Minimum Retry-After. Most requests take about as long, and the measured wait for adapter slots
   * is too short, since a request that leaves that line may still be refused its load.
   */
  private static final Duration MINIMUM_CAPACITY_DELAY = Duration.ofMillis(150);

  private final DispatchSettings settings;
  private final RequestRanks ranks;
  private final AdapterLoads.Redispatch redispatch;

  WaitingRequests(DispatchSettings settings, AdapterLoads.Redispatch redispatch) {
    this.settings = settings;
    this.ranks = new RequestRanks(settings);
    this.redispatch = redispatch;
  }

  /**
   * Returns whether a request may get capacity before it gives up, and be answered before its
   * deadline. Only what is certain counts, since a late response still has some value.
   */
  boolean mayWait(
      DispatchState state,
      ActiveRequest active,
      WaitLine line,
      MonotonicTime giveUpAt,
      MonotonicTime time) {
    Duration certain = state.waiting().certainWait(line, active.priority());
    return !DeadlineEstimate.hopeless(ranks.ofPrompt(active, time), certain)
        && time.plus(certain).isBefore(giveUpAt);
  }

  /** Returns whether a request that has not run cannot be answered in time, even if sent now. */
  boolean hopeless(ActiveRequest active, MonotonicTime time) {
    return active.progress().possibleRuns() == 0
        && !active.progress().responseStarted()
        && DeadlineEstimate.hopeless(ranks.ofPrompt(active, time), Duration.ZERO);
  }

  /**
   * Adds a request to a line. If too many requests wait then, the one with the latest turn is
   * refused.
   */
  Step<DispatchState, DispatchEffect> enqueue(
      DispatchState state,
      ActiveRequest active,
      WaitLine line,
      MonotonicTime giveUpAt,
      MonotonicTime time) {
    ActiveRequest waiting = active.with(active.progress().waiting());
    QueuedRequest queued =
        new QueuedRequest(
            active.key(),
            line,
            active.account().map(AccountLimits::name).map(ClientAccountName::text).orElse(""),
            ranks.withoutLoad(active, time),
            time,
            giveUpAt,
            state.waiting().expectedWait(line, active.priority()));
    WaitingQueue queue = state.waiting().with(queued, time).settled(line, time);
    DispatchState next = state.withWaiting(queue);
    return RequestWakes.schedule(next, waiting, delay(next, queued, time), time)
        .with(waitBegan(active, queued))
        .andThen(added -> bounded(added, time));
  }

  /** Returns the report of a request that begins to wait; none if it has looked for capacity. */
  private static List<DispatchEffect> waitBegan(ActiveRequest active, QueuedRequest queued) {
    boolean waited =
        active.progress().phase() == Phase.WAITING && active.progress().wakeNumber() > 0;
    return waited
        ? List.of()
        : List.of(
            new DispatchEffect.WaitBegan(
                active.request(), queued.line(), queued.rank(), queued.expectedWait()));
  }

  private Step<DispatchState, DispatchEffect> bounded(DispatchState state, MonotonicTime time) {
    if (state.waiting().size() <= WaitingQueue.MAXIMUM_REQUESTS) {
      return Step.of(state);
    }
    QueuedRequest last = state.waiting().last().orElseThrow();
    ActiveRequest refused = state.requests().get(last.key());
    return RequestCompletion.fail(
        state,
        refused,
        DispatchRefusal.Code.NO_ROOM,
        retryAfter(state, refused, last.line()),
        time);
  }

  /** Returns when the caller of a refused request should return. */
  Duration retryAfter(DispatchState state, ActiveRequest active, WaitLine line) {
    Duration expected = state.waiting().expectedWait(line, active.priority());
    Duration delay =
        expected.compareTo(MINIMUM_CAPACITY_DELAY) > 0 ? expected : MINIMUM_CAPACITY_DELAY;
    return settings.retryAfter().retryAfter(delay, active.request().hash());
  }

  /** Handles the wake of a request; empty if it does not wait in a line. */
  Optional<Step<DispatchState, DispatchEffect>> onWake(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    return state.waiting().find(active.key()).map(queued -> onWake(state, active, queued, time));
  }

  private Step<DispatchState, DispatchEffect> onWake(
      DispatchState state, ActiveRequest active, QueuedRequest queued, MonotonicTime time) {
    WaitLine line = queued.line();
    if (time.isBefore(queued.giveUpAt())) {
      return drain(state, line, time).andThen(next -> scheduleAgain(next, active, queued, time));
    }
    return drained(state, line, time)
        .andThen(
            next ->
                next.waiting().find(active.key()).equals(Optional.of(queued))
                    ? redispatch.dispatch(next, active, time)
                    : Step.of(next))
        .andThen(next -> scheduleFirst(next, line, time));
  }

  /** Dispatches requests that wait for a retry, if there are any. */
  Step<DispatchState, DispatchEffect> onRetryEarned(
      DispatchState state, String service, MonotonicTime time) {
    WaitLine line = new WaitLine(WaitLine.Capacity.RETRY, service);
    return state.waiting().first(line).isEmpty() ? Step.of(state) : drain(state, line, time);
  }

  /**
   * Dispatches requests of all lines. A line whose first request has left otherwise looks for
   * capacity only with the next request.
   */
  Step<DispatchState, DispatchEffect> onTick(DispatchState state, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step = Step.of(state);
    for (WaitLine line : state.waiting().lines()) {
      step = step.andThen(next -> drain(next, line, time));
    }
    return step;
  }

  private Step<DispatchState, DispatchEffect> drain(
      DispatchState state, WaitLine line, MonotonicTime time) {
    return drained(state, line, time).andThen(next -> scheduleFirst(next, line, time));
  }

  /** Dispatches requests of a line in order until one of them has to wait on. */
  private Step<DispatchState, DispatchEffect> drained(
      DispatchState state, WaitLine line, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step = Step.of(state);
    for (int dispatches = 0; dispatches < MAXIMUM_DISPATCHES; dispatches++) {
      WaitingQueue settled = step.state().waiting().settled(line, time);
      step = step.andThen(next -> Step.of(next.withWaiting(settled)));
      Optional<QueuedRequest> first = settled.first(line);
      if (first.isEmpty() || !available(step.state(), line, time)) {
        return step;
      }
      long key = first.get().key();
      step = step.andThen(next -> redispatch.dispatch(next, next.requests().get(key), time));
      if (step.state().waiting().find(key).isPresent()) {
        return step;
      }
      step = step.andThen(next -> waitEnded(next, first.get(), time));
    }
    return step;
  }

  /** Counts and reports a request that has left its line, unless it was refused. */
  private static Step<DispatchState, DispatchEffect> waitEnded(
      DispatchState state, QueuedRequest queued, MonotonicTime time) {
    ActiveRequest active = state.requests().get(queued.key());
    return active == null
        ? Step.of(state)
        : Step.of(
            state.withWaiting(state.waiting().taken(queued.line(), time)),
            new DispatchEffect.WaitEnded(
                active.request(),
                queued.line(),
                time.since(queued.since()),
                queued.expectedWait()));
  }

  private boolean available(DispatchState state, WaitLine line, MonotonicTime time) {
    return line.capacity() != WaitLine.Capacity.RETRY
        || state.budget(settings, line.service(), time).allows();
  }

  /** Schedules the next wake of a request that has just been woken, if it still waits. */
  private static Step<DispatchState, DispatchEffect> scheduleAgain(
      DispatchState state, ActiveRequest woken, QueuedRequest queued, MonotonicTime time) {
    ActiveRequest active = state.requests().get(woken.key());
    if (active == null || active.progress().wakeNumber() != woken.progress().wakeNumber()) {
      return Step.of(state);
    }
    ActiveRequest waiting = active.with(active.progress().withNextWake());
    return RequestWakes.schedule(state, waiting, delay(state, queued, time), time);
  }

  /** Schedules the next look of the first request of a line for capacity. */
  private Step<DispatchState, DispatchEffect> scheduleFirst(
      DispatchState state, WaitLine line, MonotonicTime time) {
    Optional<QueuedRequest> first = state.waiting().first(line);
    if (first.isEmpty() || first.get().since().equals(time)) {
      return Step.of(state);
    }
    ActiveRequest active = state.requests().get(first.get().key());
    ActiveRequest waiting = active.with(active.progress().withNextWake());
    return RequestWakes.schedule(state, waiting, delay(state, first.get(), time), time);
  }

  /** Returns the time until a request looks for capacity, if it is the first one, or gives up. */
  private static Duration delay(DispatchState state, QueuedRequest queued, MonotonicTime time) {
    Duration untilGiveUp = queued.giveUpAt().since(time);
    boolean polls =
        queued.line().capacity() != WaitLine.Capacity.SERVER
            && state.waiting().first(queued.line()).equals(Optional.of(queued));
    return polls && POLL_INTERVAL.compareTo(untilGiveUp) < 0 ? POLL_INTERVAL : untilGiveUp;
  }
}
