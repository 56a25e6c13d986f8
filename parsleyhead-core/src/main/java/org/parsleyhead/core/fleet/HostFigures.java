package org.parsleyhead.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.parsleyhead.core.dispatch.InstanceLoad;

/**
 * What another host has reported of itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param incarnation the run that reported
 * @param usage what that run has admitted for each client account
 * @param admitted what all runs together have admitted since the first report
 * @param loads the work that the host has at each instance
 */
record HostFigures(
    long incarnation,
    Map<String, Double> usage,
    Map<String, Double> admitted,
    Map<String, InstanceLoad> loads) {

  static HostFigures first(long incarnation, Heartbeat heartbeat) {
    return new HostFigures(incarnation, heartbeat.usage(), Map.of(), heartbeat.loads());
  }

  HostFigures report(long run, Heartbeat heartbeat) {
    Map<String, Double> sums = new HashMap<>(admitted);
    heartbeat
        .usage()
        .forEach(
            (account, total) -> {
              double before = run == incarnation ? usage.getOrDefault(account, 0.0) : 0;
              sums.merge(account, total - before, Double::sum);
            });
    return new HostFigures(run, heartbeat.usage(), Map.copyOf(sums), heartbeat.loads());
  }
}
