package org.parsleyhead.core.dispatch;

import java.util.Map;
import java.util.TreeMap;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * What the instances of a service report about themselves, as estimated by this host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instances the instances that have reported a load
 * @param requestsPerSlot the mean estimated load of these, in requests per slot
 * @param pace the mean estimated pace of these; 1 is as usual and 2 twice as slow
 */
public record ServiceCondition(int instances, double requestsPerSlot, double pace) {

  /** The condition of a service none of whose instances has reported anything. */
  public static final ServiceCondition UNREPORTED = new ServiceCondition(0, 0, 1);

  /** Returns the conditions of the services with instances that have reported, by name. */
  public static Map<String, ServiceCondition> of(DispatchState state, MonotonicTime time) {
    Map<String, ServiceCondition> conditions = new TreeMap<>();
    for (InstanceView view : state.instances().all()) {
      if (view.condition().reported()) {
        conditions.merge(
            view.instance().service(),
            new ServiceCondition(
                1, PlainExpectation.utilization(view, time), view.condition().paceAt(time)),
            ServiceCondition::plus);
      }
    }
    return conditions;
  }

  private ServiceCondition plus(ServiceCondition other) {
    int total = instances + other.instances;
    return new ServiceCondition(
        total,
        (requestsPerSlot * instances + other.requestsPerSlot * other.instances) / total,
        (pace * instances + other.pace * other.instances) / total);
  }
}
