package org.parsleyhead.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;

/**
 * Queues requests, removes them and refuses those that cannot be served in time.
 *
 * <p>Immutable and thread-safe. A waiting request is in the queue of its adapter exactly once, and
 * is refused only if no part of it was sent.
 */
final class RequestQueues {

  private static final Duration MINIMUM_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(60);

  private final SchedulingPolicy policy;

  RequestQueues(SchedulingPolicy policy) {
    this.policy = policy;
  }

  /**
   * Queues a request, or refuses it if no engine may serve it or the expected wait exceeds its
   * deadline.
   */
  Step<SchedulingState, SchedulingEffect> submit(
      SchedulingState state, ModelRequest request, MonotonicTime time) {
    if (state.waiting().containsKey(request.identifier())
        || state.running().containsKey(request.identifier())) {
      return Step.of(state);
    }
    boolean served =
        state.engines().values().stream()
            .filter(engine -> !engine.item().leaving())
            .filter(engine -> serves(engine, request))
            .anyMatch(engine -> !request.excluded().contains(engine.name()));
    if (!served) {
      return refuse(state, request, RefusalReason.NO_ENGINE, MINIMUM_RETRY_AFTER);
    }
    double startTag = state.shares().startTagOf(request);
    Duration wait = expectedWait(state, startTag);
    return wait.compareTo(request.startWithin()) > 0
        ? refuse(state, request, RefusalReason.OVERLOADED, wait.minus(request.startWithin()))
        : Step.of(enqueue(state, request, startTag, time));
  }

  /** Removes a waiting request from the queues. */
  SchedulingState remove(SchedulingState state, WaitingRequest waiting, MonotonicTime time) {
    ModelRequest request = waiting.request();
    AdapterView view = state.adapter(request.adapter(), time).dequeue(waiting.key());
    SchedulingState removed =
        ReadySets.refresh(
            state
                .withAdapters(state.adapters().plus(request.adapter(), view))
                .withWaiting(state.waiting().minus(request.identifier()))
                .withDeadlines(state.deadlines().minus(DeadlineKey.of(waiting)))
                .withShares(state.shares().cancel(request)),
            request.adapter(),
            time);
    SchedulingState cancelled = cancelLoadClaim(removed, request.adapter(), time);
    return cancelled.with(request.adapter(), cancelled.adapter(request.adapter(), time));
  }

  /** Refuses the requests whose deadline has passed. */
  Step<SchedulingState, SchedulingEffect> expire(SchedulingState state, MonotonicTime time) {
    SchedulingState current = state;
    List<SchedulingEffect> effects = new ArrayList<>();
    while (!current.deadlines().isEmpty()
        && !time.isBefore(current.deadlines().first().deadline())) {
      WaitingRequest waiting = current.waiting().get(current.deadlines().first().identifier());
      current = remove(current, waiting, time);
      effects.add(
          new SchedulingEffect.Refuse(
              waiting.request().identifier(),
              RefusalReason.DEADLINE_PASSED,
              clamp(expectedWait(current, waiting.startTag()))));
    }
    return current.step(effects);
  }

  static boolean serves(EngineView engine, ModelRequest request) {
    return engine.item().engine().orElseThrow().baseModel().equals(request.baseModel());
  }

  private SchedulingState enqueue(
      SchedulingState state, ModelRequest request, double startTag, MonotonicTime time) {
    long sequence = state.nextSequence();
    QueueKey key =
        new QueueKey(policy.queueOrder().rank(startTag, request.priority(), sequence), sequence);
    WaitingRequest waiting = new WaitingRequest(request, key, startTag, time);
    AdapterView view = state.adapter(request.adapter(), time).enqueue(waiting);
    SchedulingState queued =
        state
            .with(request.adapter(), view)
            .withWaiting(state.waiting().plus(request.identifier(), waiting))
            .withDeadlines(state.deadlines().plus(DeadlineKey.of(waiting)))
            .withShares(state.shares().enqueue(request))
            .withNextSequence(sequence + 1);
    return ReadySets.refresh(claimLoad(queued, request, time), request.adapter(), time);
  }

  /**
   * Adds a claim for the adapter load that a request needs, unless the adapter is pinned or already
   * has one.
   */
  private static SchedulingState claimLoad(
      SchedulingState state, ModelRequest request, MonotonicTime time) {
    AdapterView view = state.adapter(request.adapter(), time);
    if (view.loadClaim().isPresent() || view.isPinnedAnywhere(time)) {
      return state;
    }
    LoadShares.Claim claim = state.loadShares().claimFor(request.clientAccount());
    return state
        .withLoadShares(state.loadShares().add(claim))
        .with(request.adapter(), view.withLoadClaim(Optional.of(claim)));
  }

  private static SchedulingState cancelLoadClaim(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    AdapterView view = state.adapter(adapter, time);
    if (view.loadClaim().isEmpty() || !view.queue().isEmpty()) {
      return state;
    }
    return state
        .withLoadShares(state.loadShares().cancel(view.loadClaim().get()))
        .withAdapters(state.adapters().plus(adapter, view.withLoadClaim(Optional.empty())));
  }

  /**
   * Returns the virtual time until a request begins, converted to real time at the current
   * throughput.
   */
  private static Duration expectedWait(SchedulingState state, double startTag) {
    OptionalDouble throughput = state.throughput().tokensPerSecond();
    if (!state.isSaturated() || throughput.isEmpty()) {
      return Duration.ZERO;
    }
    double virtualSeconds = Math.max(0, startTag - state.shares().virtualTime());
    double seconds = virtualSeconds * state.shares().waitingRate() / throughput.getAsDouble();
    return Duration.ofMillis(
        (long) Math.min(seconds * 1000, MAXIMUM_RETRY_AFTER.toMillis() * 10.0));
  }

  private static Step<SchedulingState, SchedulingEffect> refuse(
      SchedulingState state, ModelRequest request, RefusalReason reason, Duration retryAfter) {
    return Step.of(
        state, new SchedulingEffect.Refuse(request.identifier(), reason, clamp(retryAfter)));
  }

  private static Duration clamp(Duration retryAfter) {
    Duration atLeast =
        retryAfter.compareTo(MINIMUM_RETRY_AFTER) < 0 ? MINIMUM_RETRY_AFTER : retryAfter;
    return atLeast.compareTo(MAXIMUM_RETRY_AFTER) > 0 ? MAXIMUM_RETRY_AFTER : atLeast;
  }
}
