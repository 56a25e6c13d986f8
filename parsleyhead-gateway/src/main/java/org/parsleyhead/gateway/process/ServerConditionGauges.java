package org.parsleyhead.gateway.process;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.parsleyhead.core.dispatch.ServiceCondition;
import org.parsleyhead.runtime.metrics.MetricName;
import org.parsleyhead.runtime.metrics.Metrics;

/**
 * The gauges of the load and the pace that servers report, for each service that reports any.
 *
 * <p>Thread-safe. Services get gauges in the order in which they first report, up to a maximum.
 */
final class ServerConditionGauges {

  /** Bounds the label values; a deployment has a few services. */
  static final int MAXIMUM_SERVICES = 32;

  private static final String SERVICE = "service";
  private static final MetricName INSTANCES = MetricName.of("parsleyhead_reporting_servers");
  private static final MetricName LOAD = MetricName.of("parsleyhead_server_requests_per_slot");
  private static final MetricName PACE = MetricName.of("parsleyhead_server_pace");

  private final Metrics metrics;
  private final Supplier<Map<String, ServiceCondition>> conditions;
  private final Set<String> services = new HashSet<>();

  ServerConditionGauges(Metrics metrics, Supplier<Map<String, ServiceCondition>> conditions) {
    this.metrics = metrics;
    this.conditions = conditions;
  }

  /** Registers the gauges of services that have reported for the first time. */
  synchronized void update() {
    for (String service : conditions.get().keySet()) {
      if (services.size() < MAXIMUM_SERVICES && services.add(service)) {
        register(INSTANCES, service, ServiceCondition::instances);
        register(LOAD, service, ServiceCondition::requestsPerSlot);
        register(PACE, service, ServiceCondition::pace);
      }
    }
  }

  private void register(MetricName name, String service, ToDoubleFunction<ServiceCondition> value) {
    metrics.gauge(
        name.with(SERVICE, service),
        () ->
            value.applyAsDouble(
                conditions.get().getOrDefault(service, ServiceCondition.UNREPORTED)));
  }
}
