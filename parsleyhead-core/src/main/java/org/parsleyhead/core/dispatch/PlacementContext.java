package org.parsleyhead.core.dispatch;

/**
 * What this host has observed beside the state of the instances when it chooses one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param loadTimes the load times of adapters
 * @param demand the requests that this host has sent recently
 * @param hosts the number of hosts, including this one
 */
record PlacementContext(LoadTimeEstimate loadTimes, RecentDemand demand, int hosts) {

  static PlacementContext of(DispatchState state) {
    InstanceTable instances = state.instances();
    return new PlacementContext(
        instances.loadTimes(), instances.demand(), Math.max(1, state.peers().hostCount()));
  }
}
