package org.parsleyhead.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterVersions;
import org.parsleyhead.core.overload.StartupQueue;
import org.parsleyhead.core.overload.TargetShareOrder;
import org.parsleyhead.core.overload.WaitingQueue;
import org.parsleyhead.core.placement.PlacementState;
import org.parsleyhead.core.quarantine.Quarantine;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of the dispatch duty of one host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param catalogue the catalogue in force
 * @param instances the announced instances
 * @param requests the active requests, by key
 * @param buckets the token buckets of the rate-limited client accounts, by name
 * @param budgets the retry budgets, by service
 * @param peers the load that the other hosts reported
 * @param stop what this process admits while it stops
 * @param versions the newest declared versions of the adapters
 * @param earliestTakeover the earliest instant at which instances without an owner can get one
 * @param startup the requests that wait until this host knows its catalogue and instances
 * @param quarantine the evidence about requests that may end their servers
 * @param placement the evacuated failure domains and the cold servers
 * @param waiting the active requests that wait for capacity, in order
 */
public record DispatchState(
    ServiceCatalogue catalogue,
    InstanceTable instances,
    PMap<Long, ActiveRequest> requests,
    PMap<String, AccountBucket> buckets,
    PMap<String, RetryBudget> budgets,
    PeerTable peers,
    StopPlan stop,
    AdapterVersions versions,
    MonotonicTime earliestTakeover,
    StartupQueue<ReceivedRequest> startup,
    Quarantine quarantine,
    PlacementState placement,
    WaitingQueue waiting) {

  /** Returns the state of a process that started at an instant. */
  public static DispatchState initial(MonotonicTime time) {
    return new DispatchState(
        ServiceCatalogue.EMPTY,
        InstanceTable.EMPTY,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        PeerTable.EMPTY,
        StopPlan.RUNNING,
        AdapterVersions.NONE,
        MonotonicTime.ORIGIN,
        StartupQueue.startedAt(time),
        Quarantine.EMPTY,
        PlacementState.EMPTY,
        WaitingQueue.empty(new TargetShareOrder()));
  }

  /** Returns the number of requests that are active or wait for the catalogue. */
  public int activeRequests() {
    return requests.size() + startup.size();
  }

  /** Returns the requests that are active or wait for the catalogue, the oldest first. */
  public List<ActiveRequestSummary> activeSummaries() {
    Stream<ActiveRequestSummary> active = requests.values().stream().map(ActiveRequestSummary::of);
    Stream<ActiveRequestSummary> waiting =
        startup.requests().stream().map(ActiveRequestSummary::of);
    return Stream.concat(active, waiting)
        .sorted(Comparator.comparing(ActiveRequestSummary::receivedAt))
        .toList();
  }

  /**
   * Returns the units that this host has admitted for each rate-limited account since it started.
   */
  public Map<String, Double> admittedUnits() {
    Map<String, Double> units = new HashMap<>();
    buckets.forEach((name, bucket) -> units.put(name, bucket.admitted()));
    return units;
  }

  /** Returns the load of this host at each instance, without instances that have none. */
  public Map<String, InstanceLoad> sentLoads() {
    Map<String, InstanceLoad> loads = new HashMap<>();
    instances
        .all()
        .forEach(
            view -> {
              if (!view.ownLoad().isNone()) {
                loads.put(view.identifier(), view.ownLoad());
              }
            });
    return loads;
  }

  /** Returns the number of active requests of this host for each adapter, by instance. */
  public Map<String, Map<AdapterKey, Integer>> adapterUse() {
    Map<String, Map<AdapterKey, Integer>> use = new HashMap<>();
    for (ActiveRequest active : requests.values()) {
      Optional<String> instance = active.progress().instance();
      if (instance.isPresent() && active.request().work().isPresent()) {
        use.computeIfAbsent(instance.get(), key -> new HashMap<>())
            .merge(active.request().work().get().adapter(), 1, Integer::sum);
      }
    }
    return use;
  }

  DispatchState withCatalogue(ServiceCatalogue next) {
    return new DispatchState(
        next,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withInstances(InstanceTable next) {
    return new DispatchState(
        catalogue,
        next,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withRequest(ActiveRequest request) {
    return withRequests(requests.plus(request.key(), request));
  }

  DispatchState withoutRequest(long key) {
    return withRequests(requests.minus(key)).withWaiting(waiting.without(key));
  }

  DispatchState withBucket(String account, AccountBucket bucket) {
    return withBuckets(buckets.plus(account, bucket));
  }

  DispatchState withBuckets(PMap<String, AccountBucket> next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        next,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withBudget(String service, RetryBudget budget) {
    return withBudgets(budgets.plus(service, budget));
  }

  DispatchState withBudgets(PMap<String, RetryBudget> next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        next,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withVersions(AdapterVersions next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        next,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withEarliestTakeover(MonotonicTime time) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        time,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withPeers(PeerTable next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        next,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withStop(StopPlan next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        next,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }

  RetryBudget budget(DispatchSettings settings, String service, MonotonicTime time) {
    RetryBudget known = budgets.get(service);
    return known == null
        ? RetryBudget.fresh(time)
        : known.advance(settings, peers.hostCount(), time);
  }

  DispatchState withStartup(StartupQueue<ReceivedRequest> next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        next,
        quarantine,
        placement,
        waiting);
  }

  DispatchState withQuarantine(Quarantine next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        next,
        placement,
        waiting);
  }

  DispatchState withPlacement(PlacementState next) {
    return new DispatchState(
        catalogue,
        instances,
        requests,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        next,
        waiting);
  }

  DispatchState withWaiting(WaitingQueue next) {
    return next == waiting
        ? this
        : new DispatchState(
            catalogue,
            instances,
            requests,
            buckets,
            budgets,
            peers,
            stop,
            versions,
            earliestTakeover,
            startup,
            quarantine,
            placement,
            next);
  }

  private DispatchState withRequests(PMap<Long, ActiveRequest> next) {
    return new DispatchState(
        catalogue,
        instances,
        next,
        buckets,
        budgets,
        peers,
        stop,
        versions,
        earliestTakeover,
        startup,
        quarantine,
        placement,
        waiting);
  }
}
