package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.ServiceRoute;

/**
 * Decides whether a request is admitted, by its route, its key and the rate of its client account.
 *
 * <p>Immutable and thread-safe. A request refused here has not been sent to any instance, so every
 * refusal may state that the request has not run.
 */
final class Admission {

  /**
   * Expected delay until a host without a catalogue has read it, once it has failed to at first.
   */
  private static final Duration NOT_READY_DELAY = Duration.ofMillis(300);

  /** Applies to callers that state no deadline while no route is known. */
  private static final Duration DEFAULT_CALLER_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Number of the wake event that ends the wait for a catalogue; active requests start above it.
   */
  private static final int STARTUP_WAKE_NUMBER = 0;

  /** Retry-After of a host that is stopping; short, since another host accepts the retry. */
  private static final Duration STOPPING_DELAY = Duration.ofMillis(20);

  private static final double ONE_REQUEST = 1;

  /** Offset from priority to urgency; reserves the lower values for work that must not wait. */
  private static final int URGENCY_OFFSET = 2;

  private static final int LOWEST_URGENCY = 9;

  private final DispatchSettings settings;
  private final RequestDispatcher dispatcher;

  Admission(DispatchSettings settings, RequestDispatcher dispatcher) {
    this.settings = settings;
    this.dispatcher = dispatcher;
  }

  Step<DispatchState, DispatchEffect> receive(
      DispatchState state, ServingRequest request, MonotonicTime time) {
    if (state.catalogue().known() && !state.instances().all().isEmpty()) {
      return admit(state, new ReceivedRequest(request, time), time);
    }
    if (state.stop().stopping()) {
      return refuseStopping(state, request);
    }
    Optional<Duration> limit =
        state.startup().waitLimit(request.callerTimeout().orElse(DEFAULT_CALLER_TIMEOUT), time);
    if (limit.isEmpty()) {
      return state.catalogue().known()
          ? admit(state, new ReceivedRequest(request, time), time)
          : refuseNotReady(state, request);
    }
    return Step.of(
        state.withStartup(state.startup().with(request.key(), new ReceivedRequest(request, time))),
        new DispatchEffect.WakeAfter(request.key(), STARTUP_WAKE_NUMBER, limit.get()));
  }

  /** Admits all requests that have waited for the catalogue, in the order of their arrival. */
  Step<DispatchState, DispatchEffect> admitWaiting(DispatchState state, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step =
        Step.of(state.withStartup(state.startup().emptied()));
    for (ReceivedRequest received : state.startup().requests()) {
      step = step.andThen(next -> admit(next, received, time));
    }
    return step;
  }

  /**
   * Applies a plan to stop; a host that stops waits no longer for its catalogue. Once it refuses
   * everything, the requests that no instance has received are refused too.
   */
  Step<DispatchState, DispatchEffect> stop(DispatchState state, StopPlan plan, MonotonicTime time) {
    StopPlan next = state.stop().followedBy(plan);
    Step<DispatchState, DispatchEffect> step =
        Step.of(state.withStop(next).withStartup(state.startup().emptied()));
    for (ReceivedRequest received : state.startup().requests()) {
      step = step.andThen(stopped -> refuseStopping(stopped, received.request()));
    }
    return next.stage() == StopStage.REJECT_ALL
        ? step.andThen(stopped -> refuseUnsent(stopped, time))
        : step;
  }

  private static Step<DispatchState, DispatchEffect> refuseUnsent(
      DispatchState state, MonotonicTime time) {
    Step<DispatchState, DispatchEffect> step = Step.of(state);
    for (ActiveRequest active : state.requests().values()) {
      boolean unsent =
          active.progress().phase() != Phase.SENT && active.progress().possibleRuns() == 0;
      if (unsent) {
        step =
            step.andThen(
                next ->
                    RequestCompletion.fail(
                        next, active, DispatchRefusal.Code.STOPPING, STOPPING_DELAY, time));
      }
    }
    return step;
  }

  /** Ends the wait of a request for the catalogue. */
  Step<DispatchState, DispatchEffect> endWait(
      DispatchState state, ReceivedRequest received, MonotonicTime time) {
    DispatchState next = state.withStartup(state.startup().without(received.request().key()));
    return next.catalogue().known()
        ? admit(next, received, time)
        : refuseNotReady(next, received.request());
  }

  private Step<DispatchState, DispatchEffect> refuseNotReady(
      DispatchState state, ServingRequest request) {
    return refuse(
        state,
        request,
        DispatchRefusal.withRetryAfter(
            DispatchRefusal.Code.NOT_READY,
            settings.retryAfter().retryAfter(NOT_READY_DELAY, request.hash())),
        "catalogue=unknown");
  }

  private static Step<DispatchState, DispatchEffect> refuseStopping(
      DispatchState state, ServingRequest request) {
    return refuse(
        state,
        request,
        DispatchRefusal.withRetryAfter(DispatchRefusal.Code.STOPPING, STOPPING_DELAY),
        "catalogue=" + state.catalogue().version() + " stage=" + state.stop().stage());
  }

  private Step<DispatchState, DispatchEffect> admit(
      DispatchState state, ReceivedRequest received, MonotonicTime time) {
    ServingRequest request = received.request();
    String version = "catalogue=" + state.catalogue().version();
    Optional<ServiceRoute> route = state.catalogue().route(request.host(), request.path());
    if (route.isEmpty()) {
      return refuse(state, request, DispatchRefusal.of(DispatchRefusal.Code.NO_ROUTE), version);
    }
    if (!state.stop().admits(deadline(received, route.get()))) {
      return refuseStopping(state, request);
    }
    Optional<AccountLimits> account = request.credential().flatMap(state.catalogue()::account);
    if (account.isEmpty() && !route.get().open() && !state.catalogue().accounts().isEmpty()) {
      return refuse(state, request, DispatchRefusal.of(DispatchRefusal.Code.UNKNOWN_KEY), version);
    }
    return charge(state, received, route.get(), account, time);
  }

  private Step<DispatchState, DispatchEffect> charge(
      DispatchState state,
      ReceivedRequest received,
      ServiceRoute route,
      Optional<AccountLimits> account,
      MonotonicTime time) {
    ServingRequest request = received.request();
    double units = account.map(limits -> units(limits, request)).orElse(0.0);
    DispatchState charged = state;
    if (account.isPresent() && account.get().limited()) {
      AccountLimits limits = account.get();
      String name = limits.name().text();
      AccountBucket bucket =
          state
              .buckets()
              .getOrDefault(name, AccountBucket.fresh(limits, time))
              .advance(limits, settings.rateTolerance(), time);
      if (!bucket.admits(settings.burstTolerance())) {
        return refuse(
            state.withBucket(name, bucket),
            request,
            DispatchRefusal.withRetryAfter(
                DispatchRefusal.Code.OVER_RATE,
                bucket.refillTime(limits, settings.burstTolerance())),
            "account=" + name + " level=" + Math.round(bucket.level()) + " units=" + units);
      }
      charged = state.withBucket(name, bucket.admit(units));
    }
    ActiveRequest active = activate(charged, received, route, account, units);
    RetryBudget budget =
        charged
            .budget(settings, active.service(), time)
            .earn(settings, charged.peers().hostCount());
    DispatchState earned = charged.withBudget(active.service(), budget);
    return dispatcher
        .dispatch(earned, active, time)
        .andThen(
            next ->
                budget.allows()
                    ? dispatcher.waiting().onRetryEarned(next, active.service(), time)
                    : Step.of(next));
  }

  private static ActiveRequest activate(
      DispatchState state,
      ReceivedRequest received,
      ServiceRoute route,
      Optional<AccountLimits> account,
      double units) {
    ServingRequest request = received.request();
    int priority =
        account.map(limits -> limits.priority().orElse(route.priority())).orElse(route.priority());
    return new ActiveRequest(
        request,
        state.catalogue().version(),
        route,
        route.serviceFor(request.hash()),
        account,
        units,
        Math.min(LOWEST_URGENCY, URGENCY_OFFSET + Math.max(0, priority)),
        received.receivedAt(),
        deadline(received, route),
        request.work().map(PrefixCacheEstimate::prefixHashes).orElse(List.of()),
        Progress.INITIAL);
  }

  /** Returns the instant by which the response must be complete. */
  private static MonotonicTime deadline(ReceivedRequest received, ServiceRoute route) {
    Duration callerTimeout = received.request().callerTimeout().orElse(route.timeout());
    Duration limit = callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout();
    return received.receivedAt().plus(limit);
  }

  private static double units(AccountLimits limits, ServingRequest request) {
    if (!limits.countsTokens()) {
      return ONE_REQUEST;
    }
    return request
        .work()
        .filter(work -> work.totalTokens() > 0)
        .map(work -> (double) work.totalTokens())
        .orElse((double) limits.defaultTokens());
  }

  private static Step<DispatchState, DispatchEffect> refuse(
      DispatchState state, ServingRequest request, DispatchRefusal refusal, String inputs) {
    return Step.of(state, new DispatchEffect.Refuse(request, refusal, inputs));
  }
}
