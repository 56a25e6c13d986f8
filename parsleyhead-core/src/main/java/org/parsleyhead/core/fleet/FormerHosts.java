package org.parsleyhead.core.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Hosts that no longer count for majorities but are still contacted, so that one that returns hears
 * from the fleet even if it knows none of its hosts.
 *
 * <p>Immutable and thread-safe. Seeds are kept, since a restarted host contacts them first; the
 * number and the age of the others are bounded.
 *
 * @param hosts the former hosts, by endpoint
 */
record FormerHosts(PMap<String, Former> hosts) {

  static final FormerHosts NONE = new FormerHosts(HashTreePMap.empty());

  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final int MAXIMUM_HOSTS = 64;
  private static final Duration SEED_INTERVAL = Duration.ofSeconds(1);
  private static final Duration INTERVAL = Duration.ofSeconds(5);

  FormerHosts plus(String endpoint, Collection<String> seeds, MonotonicTime time) {
    return hosts.size() >= MAXIMUM_HOSTS && !seeds.contains(endpoint)
        ? this
        : new FormerHosts(hosts.plus(endpoint, new Former(time, time)));
  }

  FormerHosts minus(String endpoint) {
    return hosts.containsKey(endpoint) ? new FormerHosts(hosts.minus(endpoint)) : this;
  }

  /** Returns the hosts that are due for a heartbeat. */
  List<String> due(MonotonicTime time) {
    return hosts.entrySet().stream()
        .filter(host -> !time.isBefore(host.getValue().nextAt()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns these hosts after a heartbeat to one of them, which may have been the last one. */
  FormerHosts withSent(String endpoint, Collection<String> seeds, MonotonicTime time) {
    MonotonicTime removedAt = hosts.get(endpoint).removedAt();
    boolean seed = seeds.contains(endpoint);
    return !seed && time.since(removedAt).compareTo(RETENTION) > 0
        ? new FormerHosts(hosts.minus(endpoint))
        : new FormerHosts(
            hosts.plus(
                endpoint, new Former(removedAt, time.plus(seed ? SEED_INTERVAL : INTERVAL))));
  }

  /**
   * A host that no longer counts.
   *
   * <p>Immutable and thread-safe.
   *
   * @param removedAt when it was removed
   * @param nextAt when the next heartbeat to it is due
   */
  record Former(MonotonicTime removedAt, MonotonicTime nextAt) {}
}
