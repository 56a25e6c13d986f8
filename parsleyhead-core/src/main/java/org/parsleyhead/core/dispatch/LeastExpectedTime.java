package org.parsleyhead.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.ServiceDefinition;

/**
 * Chooses the instance that is expected to respond first.
 *
 * <p>Immutable and thread-safe. For model servers, the expected time consists of the load time of
 * the adapter, the prefill of queued prompts, and the prefill of the part of the prompt that is not
 * in the prefix cache. An adapter that no server holds is loaded at the server with the highest
 * rendezvous hash, so that hosts make the same choice without knowing each other's choices.
 */
final class LeastExpectedTime implements InstanceChoice {

  /** Cost of another failure domain: a round trip and the price of the transferred bytes. */
  private static final double OTHER_DOMAIN_COST_MILLISECONDS = 4;

  /** Cost of a server whose attempts all fail; exceeds any queueing time that is acceptable. */
  private static final double FAILING_COST_MILLISECONDS = 1500;

  /** Cost of an instance that recently did not respond at all. */
  private static final double AVOIDED_COST_MILLISECONDS = 4000;

  /** Cost of a server at which no host can currently order loads. */
  private static final double LOADS_REFUSED_COST_MILLISECONDS = 3000;

  /** Cost of loading an adapter at a server other than the preferred one. */
  private static final double NOT_PREFERRED_COST_MILLISECONDS = 60;

  /**
   * Cost of fetching an adapter from the store although another server has a copy: a fetch is
   * weighted as half a request, which corresponds to about this delay.
   */
  private static final double ADDITIONAL_COPY_COST_MILLISECONDS = 300;

  /** Delay of the first token for each request that generates concurrently. */
  private static final double RUNNING_REQUEST_COST_MILLISECONDS = 0.4;

  /** Cost of waiting for a slot or for memory; the shortest requests take about as long. */
  private static final double NO_CAPACITY_COST_MILLISECONDS = 400;

  /** Fraction of the cache of a server above which further requests are expected to wait. */
  private static final double USABLE_MEMORY_FRACTION = 0.9;

  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final DispatchSettings settings;
  private final LoadTimes loadTimes;

  LeastExpectedTime(DispatchSettings settings) {
    this.settings = settings;
    this.loadTimes = new LoadTimes(settings);
  }

  @Override
  public Optional<Candidate> choose(
      ActiveRequest request,
      Optional<ServiceDefinition> service,
      Collection<InstanceView> candidates,
      LoadTimeEstimate estimate,
      MonotonicTime time) {
    Optional<EngineProfile> engine = service.flatMap(ServiceDefinition::engine);
    Optional<ModelWork> work = request.request().work();
    return engine.isPresent() && work.isPresent()
        ? chooseEngine(request, work.get().adapter(), engine.get(), candidates, estimate, time)
        : choosePlain(request, candidates, time);
  }

  private Optional<Candidate> choosePlain(
      ActiveRequest request, Collection<InstanceView> candidates, MonotonicTime time) {
    List<Candidate> costs = new ArrayList<>();
    boolean reported = false;
    for (InstanceView view : candidates) {
      double cost = commonCost(view, time) + PlainExpectation.cost(request, view, time);
      costs.add(new Candidate(view, cost, Candidate.LoadRequirement.NONE));
      reported |= view.condition().reported();
    }
    return reported
        ? TwoRandomChoices.choose(
            costs,
            Rendezvous.weight(request.request().hash(), request.key()),
            PlainExpectation.costWithinTarget(request))
        : costs.stream().min(Comparator.comparingDouble(Candidate::cost));
  }

  /**
   * Chooses among model servers. The preference of a server for a cold load is computed only if
   * such a load could be chosen at all, since it needs a hash of each server.
   */
  private Optional<Candidate> chooseEngine(
      ActiveRequest request,
      AdapterKey adapter,
      EngineProfile engine,
      Collection<InstanceView> candidates,
      LoadTimeEstimate estimate,
      MonotonicTime time) {
    boolean copyExists = candidates.stream().anyMatch(view -> hasCopy(view, adapter));
    List<Candidate> coldLoads = new ArrayList<>();
    Candidate best = null;
    for (InstanceView view : candidates) {
      Candidate candidate = engineCandidate(request, engine, view, copyExists, estimate, time);
      if (coldLoad(candidate, adapter)) {
        coldLoads.add(candidate);
      } else if (best == null || candidate.cost() < best.cost()) {
        best = candidate;
      }
    }
    double limit = best == null ? Double.POSITIVE_INFINITY : best.cost();
    if (coldLoads.stream().noneMatch(candidate -> candidate.cost() < limit)) {
      return Optional.ofNullable(best);
    }
    String preferred = preferredInstance(adapter, candidates);
    for (Candidate coldLoad : coldLoads) {
      Candidate candidate =
          coldLoad.view().identifier().equals(preferred)
              ? coldLoad
              : coldLoad.withAddedCost(NOT_PREFERRED_COST_MILLISECONDS);
      if (best == null || candidate.cost() < best.cost()) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private static boolean coldLoad(Candidate candidate, AdapterKey adapter) {
    return candidate.loadRequirement() == Candidate.LoadRequirement.REQUIRED
        && !candidate.view().adapters().formerlyHeld(adapter);
  }

  private Candidate engineCandidate(
      ActiveRequest request,
      EngineProfile engine,
      InstanceView view,
      boolean copyExists,
      LoadTimeEstimate estimate,
      MonotonicTime time) {
    ModelWork work = request.request().work().orElseThrow();
    Candidate.LoadRequirement requirement = loadRequirement(view, work.adapter(), estimate, time);
    double rate = settings.prefillTokensPerMillisecond() / view.condition().paceAt(time);
    int cached = view.prefixCache().cachedTokens(work, request.prefixHashes());
    double prefill = Math.max(0, work.promptTokens() - cached) / rate;
    double queueing = view.totalLoad().pendingPromptTokens() / rate;
    double load = loadTime(view, work.adapter(), requirement, estimate, time);
    double cost = Math.max(queueing, load) + prefill;
    cost += commonCost(view, time) + view.totalLoad().running() * RUNNING_REQUEST_COST_MILLISECONDS;
    if (requirement == Candidate.LoadRequirement.REQUIRED) {
      boolean additionalCopy = copyExists && !view.adapters().formerlyHeld(work.adapter());
      cost += additionalCopy ? ADDITIONAL_COPY_COST_MILLISECONDS : 0;
      boolean refused = time.isBefore(view.adapters().loadsRefusedUntil());
      cost += refused || !view.owned() ? LOADS_REFUSED_COST_MILLISECONDS : 0;
    }
    int excess = view.totalLoad().running() - engine.slots() + 1;
    if (excess > 0) {
      cost += NO_CAPACITY_COST_MILLISECONDS * (1 + (double) excess / engine.slots());
    }
    double memory = view.totalLoad().reservedTokens() + work.totalTokens();
    if (memory > USABLE_MEMORY_FRACTION * engine.cacheTokens()) {
      cost += NO_CAPACITY_COST_MILLISECONDS * memory / engine.cacheTokens();
    }
    return new Candidate(view, cost, requirement);
  }

  private double commonCost(InstanceView view, MonotonicTime time) {
    double cost = view.health().scoreAt(time) * FAILING_COST_MILLISECONDS;
    if (view.health().avoided(time)) {
      cost += AVOIDED_COST_MILLISECONDS;
    }
    return view.instance().failureDomain().equals(settings.failureDomain())
        ? cost
        : cost + OTHER_DOMAIN_COST_MILLISECONDS;
  }

  private Candidate.LoadRequirement loadRequirement(
      InstanceView view, AdapterKey adapter, LoadTimeEstimate estimate, MonotonicTime time) {
    if (adapter.baseModel()) {
      return Candidate.LoadRequirement.NONE;
    }
    if (!view.adapters().holds(adapter)) {
      return Candidate.LoadRequirement.REQUIRED;
    }
    return !time.isBefore(loadTimes.readyAt(estimate, view, adapter, time))
        ? Candidate.LoadRequirement.NONE
        : Candidate.LoadRequirement.IN_PROGRESS;
  }

  private double loadTime(
      InstanceView view,
      AdapterKey adapter,
      Candidate.LoadRequirement requirement,
      LoadTimeEstimate estimate,
      MonotonicTime time) {
    return switch (requirement) {
      case NONE -> 0;
      case IN_PROGRESS ->
          milliseconds(loadTimes.readyAt(estimate, view, adapter, time).since(time));
      case REQUIRED ->
          milliseconds(loadTimes.expected(estimate, view.adapters().formerlyHeld(adapter), time));
    };
  }

  private static boolean hasCopy(InstanceView view, AdapterKey adapter) {
    return view.adapters().holds(adapter) || view.adapters().formerlyHeld(adapter);
  }

  /** Returns the server with the highest rendezvous weight for an adapter. */
  private static String preferredInstance(AdapterKey adapter, Collection<InstanceView> candidates) {
    long adapterHash = Rendezvous.hash(adapter.toString());
    String preferred = "";
    long highest = Long.MIN_VALUE;
    for (InstanceView view : candidates) {
      long weight = Rendezvous.weight(adapterHash, Rendezvous.hash(view.identifier()));
      if (weight >= highest) {
        highest = weight;
        preferred = view.identifier();
      }
    }
    return preferred;
  }

  private static double milliseconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_MILLISECOND;
  }
}
