package org.parsleyhead.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.parsleyhead.core.dispatch.InstanceLoad;

/**
 * The statistics that another host has reported of itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param incarnation the incarnation that sent the last report
 * @param reportedUnits the units that this incarnation has admitted, by client account
 * @param admittedUnits the units that all incarnations together have admitted since the first
 *     report, by client account
 * @param loads the unfinished work that the host has at each instance
 */
record HostStatistics(
    long incarnation,
    Map<String, Double> reportedUnits,
    Map<String, Double> admittedUnits,
    Map<String, InstanceLoad> loads) {

  static HostStatistics first(long incarnation, Heartbeat heartbeat) {
    return new HostStatistics(incarnation, heartbeat.admittedUnits(), Map.of(), heartbeat.loads());
  }

  HostStatistics withReport(long newIncarnation, Heartbeat heartbeat) {
    Map<String, Double> totals = new HashMap<>(admittedUnits);
    heartbeat
        .admittedUnits()
        .forEach(
            (account, total) -> {
              double previous =
                  newIncarnation == incarnation ? reportedUnits.getOrDefault(account, 0.0) : 0;
              totals.merge(account, total - previous, Double::sum);
            });
    return new HostStatistics(
        newIncarnation, heartbeat.admittedUnits(), Map.copyOf(totals), heartbeat.loads());
  }
}
