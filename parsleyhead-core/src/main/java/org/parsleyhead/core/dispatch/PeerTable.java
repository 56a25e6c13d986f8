package org.parsleyhead.core.dispatch;

import java.util.Map;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The load that the other hosts reported.
 *
 * <p>Immutable and thread-safe.
 *
 * @param hostCount the number of known hosts, including this one
 * @param liveHosts the hosts that are alive, including this one; empty before any is known
 * @param loads the load at each instance, by source name and instance
 */
record PeerTable(
    int hostCount, Set<String> liveHosts, PMap<String, Map<String, InstanceLoad>> loads) {

  static final PeerTable EMPTY = new PeerTable(1, Set.of(), HashTreePMap.empty());

  /** Returns the total load of all other hosts at an instance. */
  InstanceLoad loadAt(String instance) {
    InstanceLoad sum = InstanceLoad.NONE;
    for (Map<String, InstanceLoad> hostLoads : loads.values()) {
      sum = sum.plus(hostLoads.getOrDefault(instance, InstanceLoad.NONE));
    }
    return sum;
  }

  /**
   * Returns this table with a report. Totals aggregated by a hub and reports of single hosts
   * replace each other.
   */
  PeerTable withReport(String host, boolean aggregated, Map<String, InstanceLoad> reported) {
    String source = DispatchTransition.sourceName(host, aggregated);
    PMap<String, Map<String, InstanceLoad>> kept = loads;
    for (String known : loads.keySet()) {
      if (aggregated || known.startsWith(DispatchTransition.AGGREGATE_PREFIX)) {
        kept = kept.minus(known);
      }
    }
    return new PeerTable(hostCount, liveHosts, kept.plus(source, Map.copyOf(reported)));
  }

  PeerTable withLiveHosts(int hosts, Set<String> live) {
    PMap<String, Map<String, InstanceLoad>> kept = loads;
    for (String host : loads.keySet()) {
      if (!live.contains(host) && !host.startsWith(DispatchTransition.AGGREGATE_PREFIX)) {
        kept = kept.minus(host);
      }
    }
    return new PeerTable(hosts, live, kept);
  }
}
