package org.parsleyhead.core.fleet;

import java.util.Map;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterKey;

/** Records which adapters the requests of hosts use. Stateless and thread-safe. */
final class AdapterUse {

  private AdapterUse() {}

  /** Returns the state after a host reported which adapters its requests use. */
  static FleetState record(
      FleetState state,
      String host,
      Map<String, Map<AdapterKey, Integer>> requests,
      MonotonicTime time) {
    FleetState next = state;
    for (Map.Entry<String, OwnedEngine> engine : state.engines().entrySet()) {
      Map<AdapterKey, Integer> adapters = requests.getOrDefault(engine.getKey(), Map.of());
      boolean unchanged =
          adapters.isEmpty() && !engine.getValue().adapterRequests().containsKey(host);
      if (!unchanged) {
        next =
            next.withEngine(
                engine.getKey(), engine.getValue().withAdapterRequests(host, adapters, time));
      }
    }
    return next;
  }
}
