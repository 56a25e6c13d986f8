package org.parsleyhead.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.dispatch.ServiceCondition;
import org.parsleyhead.runtime.metrics.Metrics;

@DisplayName("The gauges of reported load and pace")
class ServerConditionGaugesTests {

  private final Map<String, ServiceCondition> conditions = new HashMap<>();
  private final MetricRegistry registry = new MetricRegistry();
  private final ServerConditionGauges gauges =
      new ServerConditionGauges(new Metrics(registry), () -> conditions);

  @Test
  @DisplayName("show a service once it reports, which guards against missing services")
  void showsService() {
    gauges.update();
    assertEquals(0, registry.getGauges().size());
    conditions.put("plain", new ServiceCondition(3, 0.5, 2));
    gauges.update();
    gauges.update();
    assertEquals(
        2.0, registry.getGauges().get("parsleyhead_server_pace{service=\"plain\"}").getValue());
    conditions.clear();
    assertEquals(
        0.0,
        registry
            .getGauges()
            .get("parsleyhead_server_requests_per_slot{service=\"plain\"}")
            .getValue());
  }

  @Test
  @DisplayName("are bounded, which guards against announcements with ever new services")
  void isBounded() {
    for (int service = 0; service < 1000; service++) {
      conditions.put("s" + service, ServiceCondition.UNREPORTED);
    }
    gauges.update();
    assertTrue(registry.getGauges().size() <= 3 * ServerConditionGauges.MAXIMUM_SERVICES);
  }
}
