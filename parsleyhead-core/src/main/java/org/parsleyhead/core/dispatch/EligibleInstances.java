package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.FailureDomainName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.RegionName;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.placement.ColdSends;
import org.parsleyhead.core.placement.ColdServer;
import org.parsleyhead.core.placement.HomeRegions;
import org.parsleyhead.core.serving.AccountLimits;
import org.parsleyhead.core.serving.ServiceDefinition;

/**
 * Decides which instances a request may be sent to, whatever their load: none in an evacuated
 * failure domain or outside of the home regions of the request, and a cold one only at the
 * permitted rate.
 *
 * <p>Answers the evacuation of a failure domain, and servers that start under load. Immutable and
 * thread-safe. The decision applies to first and further attempts, to load requests and to
 * instances that were removed recently.
 */
final class EligibleInstances {

  /**
   * When a caller should return that no server may serve now. Operators revoke an evacuation after
   * seconds at the earliest.
   */
  private static final Duration EXPECTED_CHANGE_DELAY = Duration.ofSeconds(1);

  /** Bounds how often a request is dispatched again whose next send is due. */
  private static final Duration MINIMUM_WAIT = Duration.ofMillis(20);

  /** Interval at which a request is dispatched again during the start-up period. */
  private static final Duration STARTUP_RETRY_DELAY = Duration.ofMillis(60);

  private final DispatchSettings settings;

  EligibleInstances(DispatchSettings settings) {
    this.settings = settings;
  }

  /** Returns whether a request may be sent to an instance now. */
  boolean allows(DispatchState state, ActiveRequest active, InstanceView view, MonotonicTime time) {
    return permits(state, active, view)
        && cold(state, view, time)
            .map(server -> server.permitsSend(time) && !state.startup().open(time))
            .orElse(true);
  }

  /**
   * Handles a request that has no candidates: refuses it at once if all servers of its service are
   * evacuated or outside of its home regions, and lets it wait for the next permitted send if all
   * others are cold. Returns empty if the request lacks candidates for another reason.
   */
  Optional<Step<DispatchState, DispatchEffect>> withoutCandidates(
      DispatchState state, ActiveRequest active, MonotonicTime time) {
    List<InstanceView> accepting =
        state.instances().ofService(active.service()).stream()
            .filter(InstanceView::acceptsRequests)
            .toList();
    if (accepting.isEmpty()) {
      return Optional.empty();
    }
    List<InstanceView> permitted =
        accepting.stream().filter(view -> permits(state, active, view)).toList();
    if (permitted.isEmpty()) {
      return Optional.of(
          refuse(
              state,
              active,
              DispatchRefusal.Code.NO_INSTANCE,
              EXPECTED_CHANGE_DELAY,
              "evacuated="
                  + state.placement().evacuated().domains()
                  + " home_regions="
                  + homeRegions(active),
              time));
    }
    boolean allCold = permitted.stream().allMatch(view -> cold(state, view, time).isPresent());
    return allCold ? awaitColdSend(state, active, permitted, time) : Optional.empty();
  }

  /** Returns the state after a request was sent to an instance. */
  DispatchState charge(DispatchState state, InstanceView view, MonotonicTime time) {
    return cold(state, view, time).isEmpty()
        ? state
        : state.withPlacement(
            state
                .placement()
                .withCold(
                    state.placement().cold().sent(view.identifier(), interval(state, view), time)));
  }

  /** Returns the inputs of a choice that concern a cold instance, for the log. */
  String inputs(DispatchState state, InstanceView view, MonotonicTime time) {
    return cold(state, view, time)
        .map(server -> " cold_left_ms=" + server.until().since(time).toMillis())
        .orElse("");
  }

  /** Lets a request wait for the next send that this host may make to a cold server. */
  private Optional<Step<DispatchState, DispatchEffect>> awaitColdSend(
      DispatchState state, ActiveRequest active, List<InstanceView> cold, MonotonicTime time) {
    boolean forgetsExclusions = active.progress().possibleRuns() == 0;
    List<InstanceView> usable =
        cold.stream()
            .filter(view -> forgetsExclusions || active.maySendTo(view.identifier()))
            .filter(view -> RequestDispatcher.holdsModel(active, view))
            .toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    Duration delay = sendDelay(state, active, usable, time);
    if (settings.waitPolicy().waits(delay, active.deadline().since(time))) {
      Progress progress = active.progress();
      Progress waiting = forgetsExclusions ? progress.withoutExclusions() : progress;
      return Optional.of(RequestWakes.schedule(state, active.with(waiting.waiting()), delay, time));
    }
    String cause =
        "cold="
            + usable.size()
            + " shares="
            + usable.stream().filter(view -> hasShare(state, view, time)).count()
            + " live_hosts="
            + state.peers().liveHosts().size()
            + " known_hosts="
            + state.peers().hostCount()
            + " next_send_ms="
            + delay.toMillis();
    Duration expected =
        usesShare(state, usable, time) ? delay : min(delay, interval(state, usable.get(0)));
    return Optional.of(refuse(state, active, DispatchRefusal.Code.NO_ROOM, expected, cause, time));
  }

  /**
   * Returns when this host may send a request: once the requests that wait before it are sent, or
   * once the first server is not cold any more.
   */
  private Duration sendDelay(
      DispatchState state, ActiveRequest active, List<InstanceView> cold, MonotonicTime time) {
    if (state.startup().open(time)) {
      return STARTUP_RETRY_DELAY;
    }
    Duration untilWarm =
        cold.stream()
            .map(view -> cold(state, view, time).orElseThrow().until().since(time))
            .min(Comparator.naturalOrder())
            .orElseThrow();
    List<InstanceView> shared = cold.stream().filter(view -> hasShare(state, view, time)).toList();
    if (shared.isEmpty()) {
      return max(untilWarm, MINIMUM_WAIT);
    }
    Duration next =
        shared.stream()
            .map(view -> nextSendDelay(state, view, time))
            .min(Comparator.naturalOrder())
            .orElseThrow();
    Duration queued =
        interval(state, shared.get(0))
            .multipliedBy(waitingBefore(state, active))
            .dividedBy(shared.size());
    return max(min(next.plus(queued), untilWarm), MINIMUM_WAIT);
  }

  /** Returns whether this host may send to any of the servers; otherwise only others may. */
  private boolean usesShare(DispatchState state, List<InstanceView> cold, MonotonicTime time) {
    return cold.stream().anyMatch(view -> hasShare(state, view, time));
  }

  private static Duration nextSendDelay(
      DispatchState state, InstanceView view, MonotonicTime time) {
    Duration send = cold(state, view, time).orElseThrow().nextSendAt().since(time);
    Duration accepted = view.health().refusesUntil().since(time);
    return max(send, accepted);
  }

  /** Returns the number of other requests of the service that wait at this host. */
  private static long waitingBefore(DispatchState state, ActiveRequest active) {
    return state.requests().values().stream()
        .filter(
            other ->
                other.key() < active.key()
                    && other.service().equals(active.service())
                    && other.progress().phase() == Phase.WAITING)
        .count();
  }

  private static boolean hasShare(DispatchState state, InstanceView view, MonotonicTime time) {
    return cold(state, view, time).map(ColdServer::share).orElse(false);
  }

  private boolean permits(DispatchState state, ActiveRequest active, InstanceView view) {
    FailureDomainName domain = view.instance().failureDomain();
    Optional<RegionName> region = Optional.ofNullable(settings.placement().regions().get(domain));
    return !state.placement().evacuated().contains(domain)
        && active.route().homeRegions().allow(region)
        && active.account().map(account -> account.homeRegions().allow(region)).orElse(true);
  }

  private static String homeRegions(ActiveRequest active) {
    HomeRegions ofAccount =
        active.account().map(AccountLimits::homeRegions).orElse(HomeRegions.ANYWHERE);
    return active
        .route()
        .homeRegions()
        .and(ofAccount)
        .regions()
        .map(Object::toString)
        .orElse("any");
  }

  /** Returns an instance that is cold and whose service limits the sends to cold servers. */
  private static Optional<ColdServer> cold(
      DispatchState state, InstanceView view, MonotonicTime time) {
    return state
        .placement()
        .cold()
        .find(view.identifier(), time)
        .filter(server -> requestsPerSecond(state, view) > 0);
  }

  private static Duration interval(DispatchState state, InstanceView view) {
    return ColdSends.interval(requestsPerSecond(state, view));
  }

  private static double requestsPerSecond(DispatchState state, InstanceView view) {
    return state
        .catalogue()
        .service(view.instance().service())
        .map(ServiceDefinition::coldRequestsPerSecond)
        .orElse(0.0);
  }

  private Step<DispatchState, DispatchEffect> refuse(
      DispatchState state,
      ActiveRequest active,
      DispatchRefusal.Code code,
      Duration expected,
      String cause,
      MonotonicTime time) {
    Duration retryAfter = settings.retryAfter().retryAfter(expected, active.request().hash());
    return RequestCompletion.fail(state, active, code, retryAfter, cause, time);
  }

  private static Duration min(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? second : first;
  }
}
