package org.parsleyhead.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.pcollections.PMap;

/**
 * Totals over all hosts, as known to one hub.
 *
 * <p>Immutable and thread-safe. A host receives the totals without its own contribution.
 *
 * @param admittedUnits the admitted units, by client account
 * @param loads the unfinished work at each instance
 */
record FleetTotals(Map<String, Double> admittedUnits, Map<String, InstanceLoad> loads) {

  /**
   * Returns the totals of this host and the others; silent hosts contribute admitted units but no
   * loads.
   */
  static FleetTotals of(FleetState state, FleetEvent.Tick own) {
    Map<String, Double> admitted = new HashMap<>(own.admittedUnits());
    Map<String, InstanceLoad> loads = new HashMap<>(own.loads());
    PMap<String, HostView> hosts = state.hosts();
    state
        .statistics()
        .forEach(
            (host, reported) -> {
              reported
                  .admittedUnits()
                  .forEach((account, units) -> admitted.merge(account, units, Double::sum));
              if (hosts.containsKey(host) && hosts.get(host).alive()) {
                reported
                    .loads()
                    .forEach((instance, load) -> loads.merge(instance, load, InstanceLoad::plus));
              }
            });
    return new FleetTotals(admitted, loads);
  }

  /** Returns the totals without the contribution of one host; the same totals if it is null. */
  FleetTotals without(HostStatistics contribution) {
    if (contribution == null) {
      return this;
    }
    Map<String, Double> remaining = new HashMap<>(admittedUnits);
    contribution
        .admittedUnits()
        .forEach((account, units) -> remaining.merge(account, -units, Double::sum));
    Map<String, InstanceLoad> work = new HashMap<>(loads);
    contribution
        .loads()
        .forEach(
            (instance, load) -> work.computeIfPresent(instance, (key, sum) -> sum.minus(load)));
    work.values().removeIf(InstanceLoad::isNone);
    return new FleetTotals(remaining, work);
  }
}
