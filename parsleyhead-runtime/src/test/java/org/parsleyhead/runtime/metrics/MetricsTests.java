package org.parsleyhead.runtime.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.parsleyhead.core.api.InvalidValueException;
import org.parsleyhead.runtime.duty.Ring;

@DisplayName("Metrics")
class MetricsTests {

  private static final MetricName REFUSED = MetricName.of("refused_total");

  private final Metrics metrics = new Metrics(new MetricRegistry());

  @Test
  @DisplayName("are rendered by family, with one type line for all labels")
  void counters() {
    metrics.counter(REFUSED.with("code", "unknown_key")).inc(2);
    metrics.counter(REFUSED.with("code", "a\"b\\c\nd")).inc();
    metrics.gauge(MetricName.of("open_streams"), () -> 7);
    assertEquals(
        """
        # TYPE open_streams gauge
        open_streams 7
        # TYPE refused_total counter
        refused_total{code="a\\"b\\\\c\\nd"} 1
        refused_total{code="unknown_key"} 2
        """,
        metrics.render());
  }

  @Test
  @DisplayName("of histograms and timers are rendered as summaries, timers in seconds")
  void summaries() {
    metrics.timer(MetricName.of("first_token_seconds")).update(250, TimeUnit.MILLISECONDS);
    metrics.histogram(MetricName.of("batch_requests").with("engine", "e1")).update(4);
    assertEquals(
        """
        # TYPE batch_requests summary
        batch_requests{engine="e1",quantile="0.5"} 4.0
        batch_requests{engine="e1",quantile="0.95"} 4.0
        batch_requests{engine="e1",quantile="0.99"} 4.0
        batch_requests{engine="e1",quantile="1"} 4.0
        batch_requests_count{engine="e1"} 1
        # TYPE first_token_seconds summary
        first_token_seconds{quantile="0.5"} 0.25
        first_token_seconds{quantile="0.95"} 0.25
        first_token_seconds{quantile="0.99"} 0.25
        first_token_seconds{quantile="1"} 0.25
        first_token_seconds_count 1
        """,
        metrics.render());
  }

  @Test
  @DisplayName("include the size, capacity and rejections of a ring")
  void rings() {
    Ring<Integer> ring = new Ring<>("quota", 1);
    metrics.registerRing(ring);
    ring.offer(1);
    ring.offer(2);
    assertEquals(
        """
        # TYPE parsleyhead_ring_capacity_events gauge
        parsleyhead_ring_capacity_events{ring="quota"} 1
        # TYPE parsleyhead_ring_events gauge
        parsleyhead_ring_events{ring="quota"} 1
        # TYPE parsleyhead_ring_refusals_total counter
        parsleyhead_ring_refusals_total{ring="quota"} 1
        """,
        metrics.render());
  }

  @Test
  @DisplayName("include the resource usage of the process")
  void process() {
    metrics.registerProcess();
    assertTrue(metrics.render().contains("parsleyhead_process_cpu_seconds_total "));
  }

  @Test
  @DisplayName("accept only names that the Prometheus text format allows")
  void rejectsInvalidNames() {
    assertThrows(InvalidValueException.class, () -> MetricName.of("Refused-Total"));
    assertThrows(InvalidValueException.class, () -> REFUSED.with("a b", "c"));
  }
}
