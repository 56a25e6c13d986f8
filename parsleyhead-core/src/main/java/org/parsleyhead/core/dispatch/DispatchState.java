package org.parsleyhead.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;
import org.parsleyhead.core.instance.AdapterVersions;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All that the decisions on requests know.
 *
 * <p>Immutable and thread-safe.
 *
 * @param catalogue the catalogue in force
 * @param instances the announced instances
 * @param requests the requests that have not ended
 * @param allowances the buckets of the client accounts, by name
 * @param budgets the repeated sends that are left for each service
 * @param peers what the other hosts reported
 * @param stopping how near the end of this process is
 * @param versions the newest declared versions of the adapters
 * @param ownersAt when orders to instances without an owner are possible at the earliest
 */
public record DispatchState(
    ServiceCatalogue catalogue,
    InstanceTable instances,
    PMap<Long, ActiveRequest> requests,
    PMap<String, Allowance> allowances,
    PMap<String, RetryBudget> budgets,
    PeerTable peers,
    StopStage stopping,
    AdapterVersions versions,
    MonotonicTime ownersAt) {

  /** Returns the state of a host that knows nothing yet. */
  public static DispatchState initial() {
    return new DispatchState(
        ServiceCatalogue.EMPTY,
        InstanceTable.EMPTY,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        PeerTable.EMPTY,
        StopStage.RUNNING,
        AdapterVersions.NONE,
        MonotonicTime.ORIGIN);
  }

  /** Returns the number of requests that have not ended. */
  public int activeRequests() {
    return requests.size();
  }

  /** Returns what this host has admitted for each limited client account since its start. */
  public Map<String, Double> admittedUnits() {
    Map<String, Double> units = new HashMap<>();
    allowances.forEach((name, allowance) -> units.put(name, allowance.admitted()));
    return units;
  }

  /** Returns the work that this host has at each instance; instances without work are left out. */
  public Map<String, SentLoad> sentLoads() {
    Map<String, SentLoad> loads = new HashMap<>();
    instances
        .all()
        .forEach(
            view -> {
              if (!view.own().isNone()) {
                loads.put(view.identifier(), view.own());
              }
            });
    return loads;
  }

  /** Returns how many requests of this host use each adapter at each instance. */
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
        next, instances, requests, allowances, budgets, peers, stopping, versions, ownersAt);
  }

  DispatchState withInstances(InstanceTable next) {
    return new DispatchState(
        catalogue, next, requests, allowances, budgets, peers, stopping, versions, ownersAt);
  }

  DispatchState withRequest(ActiveRequest request) {
    return withRequests(requests.plus(request.key(), request));
  }

  DispatchState withoutRequest(long key) {
    return withRequests(requests.minus(key));
  }

  DispatchState withAllowance(String account, Allowance allowance) {
    return withAllowances(allowances.plus(account, allowance));
  }

  DispatchState withAllowances(PMap<String, Allowance> next) {
    return new DispatchState(
        catalogue, instances, requests, next, budgets, peers, stopping, versions, ownersAt);
  }

  DispatchState withBudget(String service, RetryBudget budget) {
    return withBudgets(budgets.plus(service, budget));
  }

  DispatchState withBudgets(PMap<String, RetryBudget> next) {
    return new DispatchState(
        catalogue, instances, requests, allowances, next, peers, stopping, versions, ownersAt);
  }

  DispatchState withVersions(AdapterVersions next) {
    return new DispatchState(
        catalogue, instances, requests, allowances, budgets, peers, stopping, next, ownersAt);
  }

  DispatchState withOwnersAt(MonotonicTime time) {
    return new DispatchState(
        catalogue, instances, requests, allowances, budgets, peers, stopping, versions, time);
  }

  DispatchState withPeers(PeerTable next) {
    return new DispatchState(
        catalogue, instances, requests, allowances, budgets, next, stopping, versions, ownersAt);
  }

  DispatchState withStopping(StopStage stage) {
    return new DispatchState(
        catalogue, instances, requests, allowances, budgets, peers, stage, versions, ownersAt);
  }

  RetryBudget budget(DispatchSettings settings, String service, MonotonicTime time) {
    RetryBudget known = budgets.get(service);
    return known == null
        ? RetryBudget.fresh(time)
        : known.advance(settings, peers.hostCount(), time);
  }

  private DispatchState withRequests(PMap<Long, ActiveRequest> next) {
    return new DispatchState(
        catalogue, instances, next, allowances, budgets, peers, stopping, versions, ownersAt);
  }
}
