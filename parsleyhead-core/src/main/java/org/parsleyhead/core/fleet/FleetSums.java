package org.parsleyhead.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.parsleyhead.core.dispatch.InstanceLoad;
import org.pcollections.PMap;

/**
 * Sums over all hosts, as one hub knows them.
 *
 * <p>Immutable and thread-safe. A host gets the sums without its own part.
 *
 * @param admitted what was admitted for each client account
 * @param loads the work at each instance
 */
record FleetSums(Map<String, Double> admitted, Map<String, InstanceLoad> loads) {

  /** Returns the sums of this host's own figures and those of the other live hosts. */
  static FleetSums of(FleetState state, FleetEvent.Tick own) {
    Map<String, Double> admitted = new HashMap<>(own.usage());
    Map<String, InstanceLoad> loads = new HashMap<>(own.loads());
    PMap<String, HostView> hosts = state.hosts();
    state
        .figures()
        .forEach(
            (host, figures) -> {
              figures
                  .admitted()
                  .forEach((account, units) -> admitted.merge(account, units, Double::sum));
              if (hosts.containsKey(host) && hosts.get(host).alive()) {
                figures
                    .loads()
                    .forEach((instance, load) -> loads.merge(instance, load, InstanceLoad::plus));
              }
            });
    return new FleetSums(admitted, loads);
  }

  /** Returns the sums without one host's part. */
  FleetSums without(HostFigures part) {
    if (part == null) {
      return this;
    }
    Map<String, Double> rest = new HashMap<>(admitted);
    part.admitted().forEach((account, units) -> rest.merge(account, -units, Double::sum));
    Map<String, InstanceLoad> work = new HashMap<>(loads);
    part.loads()
        .forEach(
            (instance, load) -> work.computeIfPresent(instance, (key, sum) -> sum.minus(load)));
    work.values().removeIf(InstanceLoad::isNone);
    return new FleetSums(rest, work);
  }
}
