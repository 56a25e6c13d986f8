package org.parsleyhead.core.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The announced instances with an index by service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param byIdentifier all instances, by identifier
 * @param byService the instances of each service, by identifier
 * @param owned the identifiers of the instances that have a live owner
 * @param loadTimes the load times of adapters as observed at these instances
 * @param demand the requests that were sent to them recently
 */
record InstanceTable(
    PMap<String, InstanceView> byIdentifier,
    PMap<String, PMap<String, InstanceView>> byService,
    Set<String> owned,
    LoadTimeEstimate loadTimes,
    RecentDemand demand) {

  static final InstanceTable EMPTY =
      new InstanceTable(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          Set.of(),
          LoadTimeEstimate.INITIAL,
          RecentDemand.NONE);

  /** Copies the identifiers. */
  InstanceTable {
    owned = Set.copyOf(owned);
  }

  Optional<InstanceView> find(String identifier) {
    return Optional.ofNullable(byIdentifier.get(identifier));
  }

  Collection<InstanceView> all() {
    return byIdentifier.values();
  }

  Collection<InstanceView> ofService(String service) {
    return byService.getOrDefault(service, HashTreePMap.empty()).values();
  }

  /** Returns this table after the ownership of instances has changed. */
  InstanceTable withOwned(Set<String> instances) {
    InstanceTable next = new InstanceTable(byIdentifier, byService, instances, loadTimes, demand);
    for (InstanceView view : byIdentifier.values()) {
      if (view.owned() != instances.contains(view.identifier())) {
        next = next.with(view);
      }
    }
    return next;
  }

  InstanceTable with(InstanceView changed) {
    InstanceView view = changed.withOwned(owned.contains(changed.identifier()));
    InstanceTable base = this;
    InstanceView former = byIdentifier.get(view.identifier());
    if (former != null && !former.instance().service().equals(view.instance().service())) {
      base = without(view.identifier());
    }
    String service = view.instance().service();
    PMap<String, InstanceView> group = base.byService.getOrDefault(service, HashTreePMap.empty());
    return new InstanceTable(
        base.byIdentifier.plus(view.identifier(), view),
        base.byService.plus(service, group.plus(view.identifier(), view)),
        owned,
        loadTimes,
        demand);
  }

  InstanceTable without(String identifier) {
    InstanceView former = byIdentifier.get(identifier);
    if (former == null) {
      return this;
    }
    String service = former.instance().service();
    PMap<String, InstanceView> group = byService.get(service).minus(identifier);
    return new InstanceTable(
        byIdentifier.minus(identifier), byService.plus(service, group), owned, loadTimes, demand);
  }

  InstanceTable withLoadTimes(LoadTimeEstimate next) {
    return next.equals(loadTimes)
        ? this
        : new InstanceTable(byIdentifier, byService, owned, next, demand);
  }

  InstanceTable withDemand(RecentDemand next) {
    return new InstanceTable(byIdentifier, byService, owned, loadTimes, next);
  }

  InstanceTable update(String identifier, UnaryOperator<InstanceView> change) {
    InstanceView former = byIdentifier.get(identifier);
    return former == null ? this : with(change.apply(former));
  }
}
