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
 * Takes requests into the queues and gives them up.
 *
 * <p>Immutable and thread-safe. A request is in the queue of its adapter exactly once, and is
 * refused only while nothing of it was sent.
 */
final class RequestQueues {

  private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);
  private static final Duration LONGEST_RETRY = Duration.ofSeconds(60);

  private final SchedulingPolicy policy;

  RequestQueues(SchedulingPolicy policy) {
    this.policy = policy;
  }

  /** Queues a request, or refuses it if its turn would come after its deadline. */
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
      return refuse(state, request, RefusalReason.NO_ENGINE, SHORTEST_RETRY);
    }
    double startTag = state.shares().startOf(request);
    Duration wait = expectedWait(state, startTag);
    return wait.compareTo(request.startWithin()) > 0
        ? refuse(state, request, RefusalReason.OVERLOADED, wait.minus(request.startWithin()))
        : Step.of(enqueue(state, request, startTag, time));
  }

  /** Takes a waiting request out of the queues. */
  SchedulingState remove(SchedulingState state, WaitingRequest waiting, MonotonicTime time) {
    ModelRequest request = waiting.request();
    AdapterView view = state.adapter(request.adapter(), time).dequeue(waiting.key());
    SchedulingState removed =
        ReadySets.refresh(
            state
                .withAdapters(state.adapters().plus(request.adapter(), view))
                .withWaiting(state.waiting().minus(request.identifier()))
                .withDeadlines(state.deadlines().minus(DeadlineKey.of(waiting)))
                .withShares(state.shares().abandon(request)),
            request.adapter(),
            time);
    SchedulingState settled = abandonLoad(removed, request.adapter(), time);
    return settled.with(request.adapter(), settled.adapter(request.adapter(), time));
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
              bounded(expectedWait(current, waiting.startTag()))));
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

  /** Gives the load that a request needs its place among those of all client accounts. */
  private static SchedulingState claimLoad(
      SchedulingState state, ModelRequest request, MonotonicTime time) {
    AdapterView view = state.adapter(request.adapter(), time);
    if (view.loadClaim().isPresent() || view.isPinnedAnywhere(time)) {
      return state;
    }
    LoadShares.Claim claim = state.loadShares().claimFor(request.clientAccount());
    return state
        .withLoadShares(state.loadShares().make(claim))
        .with(request.adapter(), view.withLoadClaim(Optional.of(claim)));
  }

  private static SchedulingState abandonLoad(
      SchedulingState state, AdapterReference adapter, MonotonicTime time) {
    AdapterView view = state.adapter(adapter, time);
    if (view.loadClaim().isEmpty() || !view.queue().isEmpty()) {
      return state;
    }
    return state
        .withLoadShares(state.loadShares().abandon(view.loadClaim().get()))
        .withAdapters(state.adapters().plus(adapter, view.withLoadClaim(Optional.empty())));
  }

  /** The virtual time that passes before a request begins, in real time at the present service. */
  private static Duration expectedWait(SchedulingState state, double startTag) {
    OptionalDouble service = state.throughput().tokensPerSecond();
    if (!state.isSaturated() || service.isEmpty()) {
      return Duration.ZERO;
    }
    double ahead = Math.max(0, startTag - state.shares().virtualTime());
    double seconds = ahead * state.shares().waitingRate() / service.getAsDouble();
    return Duration.ofMillis((long) Math.min(seconds * 1000, LONGEST_RETRY.toMillis() * 10.0));
  }

  private static Step<SchedulingState, SchedulingEffect> refuse(
      SchedulingState state, ModelRequest request, RefusalReason reason, Duration retryAfter) {
    return Step.of(
        state, new SchedulingEffect.Refuse(request.identifier(), reason, bounded(retryAfter)));
  }

  private static Duration bounded(Duration retryAfter) {
    Duration atLeast = retryAfter.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : retryAfter;
    return atLeast.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : atLeast;
  }
}
