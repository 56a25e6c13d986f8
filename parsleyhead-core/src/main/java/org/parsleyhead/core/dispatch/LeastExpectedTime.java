package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.ServiceDefinition;

/**
 * Chooses the instance that is expected to answer first.
 *
 * <p>Immutable and thread-safe. For model servers the expected time is the load of the adapter, the
 * prompts that wait there and the part of the prompt that is not kept there. Adapters that are
 * nowhere go to the server that all hosts prefer for them, so that hosts which cannot see each
 * other's choices still make the same one.
 */
final class LeastExpectedTime implements InstanceChoice {

  /** Cost of another failure domain: a round trip and the price of the bytes. */
  private static final double OTHER_DOMAIN_MILLISECONDS = 4;

  /** Cost of a server that always fails; more than any queue that is worth waiting in. */
  private static final double FAILING_MILLISECONDS = 1500;

  /** Cost of an instance that lately did not answer at all. */
  private static final double AVOIDED_MILLISECONDS = 4000;

  /** Cost of a server whose loads nobody can order now. */
  private static final double LOADS_REFUSED_MILLISECONDS = 3000;

  /** Cost of loading an adapter at a server that is not the preferred one for it. */
  private static final double NOT_PREFERRED_MILLISECONDS = 60;

  /**
   * Cost of fetching an adapter from the store that another server has at hand: a fetch is priced
   * like half of a request, which is about the worth of this delay.
   */
  private static final double SECOND_COPY_MILLISECONDS = 300;

  /** Slowdown of the first token by each request that generates beside it. */
  private static final double RUNNING_MILLISECONDS = 0.4;

  /** Cost of waiting for a slot or for memory: the shortest requests end about then. */
  private static final double NO_ROOM_MILLISECONDS = 400;

  /** Part of the memory of a server that is used before more requests are expected to wait. */
  private static final double USED_MEMORY_PART = 0.9;

  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final DispatchSettings settings;

  LeastExpectedTime(DispatchSettings settings) {
    this.settings = settings;
  }

  @Override
  public Optional<Candidate> choose(
      ActiveRequest request,
      Optional<ServiceDefinition> service,
      Collection<InstanceView> candidates,
      MonotonicTime time) {
    Optional<EngineProfile> engine = service.flatMap(ServiceDefinition::engine);
    long preferred = preferredHash(request, candidates);
    boolean atHand =
        request
            .request()
            .work()
            .map(work -> candidates.stream().anyMatch(view -> atHand(view, work.adapter())))
            .orElse(false);
    Candidate best = null;
    for (InstanceView view : candidates) {
      Candidate candidate =
          engine.isPresent() && request.request().work().isPresent()
              ? engineCandidate(request, engine.get(), view, new Placement(preferred, atHand), time)
              : new Candidate(view, plainCost(request, view, time), Candidate.LoadNeed.NONE);
      if (best == null || candidate.cost() < best.cost()) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private Candidate engineCandidate(
      ActiveRequest request,
      EngineProfile engine,
      InstanceView view,
      Placement placement,
      MonotonicTime time) {
    ModelWork work = request.request().work().orElseThrow();
    Candidate.LoadNeed need = loadNeed(view, work.adapter(), time);
    double rate = settings.prefillTokensPerMillisecond();
    int kept = view.prompts().keptTokens(work, request.beginnings());
    double reading = Math.max(0, work.promptTokens() - kept) / rate;
    double queued = view.load().unreadTokens() / rate;
    double cost = Math.max(queued, loadTime(view, work.adapter(), need, time)) + reading;
    cost += commonCost(view, time) + view.load().running() * RUNNING_MILLISECONDS;
    if (need == Candidate.LoadNeed.ORDER) {
      if (!view.adapters().formerlyHeld(work.adapter())) {
        cost += hash(request, view) == placement.preferred() ? 0 : NOT_PREFERRED_MILLISECONDS;
        cost += placement.atHand() ? SECOND_COPY_MILLISECONDS : 0;
      }
      boolean refused = time.isBefore(view.adapters().loadsRefusedUntil());
      cost += refused || !view.owned() ? LOADS_REFUSED_MILLISECONDS : 0;
    }
    int beyond = view.load().running() - engine.slots() + 1;
    if (beyond > 0) {
      cost += NO_ROOM_MILLISECONDS * (1 + (double) beyond / engine.slots());
    }
    double memory = view.load().heldTokens() + work.totalTokens();
    if (memory > USED_MEMORY_PART * engine.cacheTokens()) {
      cost += NO_ROOM_MILLISECONDS * memory / engine.cacheTokens();
    }
    return new Candidate(view, cost, need);
  }

  private double plainCost(ActiveRequest request, InstanceView view, MonotonicTime time) {
    double target = request.route().latencyTarget().toMillis();
    double occupied = (double) view.load().running() / view.instance().slots();
    return commonCost(view, time) + occupied * target / 2;
  }

  private double commonCost(InstanceView view, MonotonicTime time) {
    double cost = view.health().scoreAt(time) * FAILING_MILLISECONDS;
    if (view.health().avoided(time)) {
      cost += AVOIDED_MILLISECONDS;
    }
    return view.instance().failureDomain().equals(settings.failureDomain())
        ? cost
        : cost + OTHER_DOMAIN_MILLISECONDS;
  }

  private static Candidate.LoadNeed loadNeed(
      InstanceView view, AdapterKey adapter, MonotonicTime time) {
    if (adapter.baseModel()) {
      return Candidate.LoadNeed.NONE;
    }
    if (!view.adapters().holds(adapter)) {
      return Candidate.LoadNeed.ORDER;
    }
    MonotonicTime readyAt = view.adapters().readyAt().get(adapter);
    return readyAt == null || !time.isBefore(readyAt)
        ? Candidate.LoadNeed.NONE
        : Candidate.LoadNeed.COMING;
  }

  private double loadTime(
      InstanceView view, AdapterKey adapter, Candidate.LoadNeed need, MonotonicTime time) {
    return switch (need) {
      case NONE -> 0;
      case COMING -> milliseconds(view.adapters().readyAt().get(adapter).since(time));
      case ORDER ->
          milliseconds(
              view.adapters().formerlyHeld(adapter) ? settings.warmLoad() : settings.coldLoad());
    };
  }

  private static boolean atHand(InstanceView view, AdapterKey adapter) {
    return view.adapters().holds(adapter) || view.adapters().formerlyHeld(adapter);
  }

  private static long preferredHash(ActiveRequest request, Collection<InstanceView> candidates) {
    long best = Long.MIN_VALUE;
    for (InstanceView view : candidates) {
      best = Math.max(best, hash(request, view));
    }
    return best;
  }

  private static long hash(ActiveRequest request, InstanceView view) {
    return request
        .request()
        .work()
        .map(work -> Rendezvous.hash(work.adapter() + "@" + view.identifier()))
        .orElse(0L);
  }

  private static double milliseconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_MILLISECOND;
  }

  /**
   * Where an adapter should be.
   *
   * @param preferred the hash of the server that all hosts prefer for it
   * @param atHand whether some server holds it or loads it fast
   */
  private record Placement(long preferred, boolean atHand) {}
}
