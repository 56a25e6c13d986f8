package org.parsleyhead.runtime.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.runtime.duty.Ring;

/**
 * The metrics of one process, accessed by typed names.
 *
 * <p>Thread-safe. Requests for the same name return the same metric. Label values come from
 * settings and tickets, never from callers, so the number of metrics is bounded.
 */
public final class Metrics {

  private static final String RING_LABEL = "ring";

  private final MetricRegistry registry;

  /** Creates metrics backed by a registry. */
  public Metrics(MetricRegistry registry) {
    this.registry = Preconditions.requireNonNull(registry, "registry");
  }

  /** Returns the counter with a name. */
  public Counter counter(MetricName name) {
    return registry.counter(name.text());
  }

  /** Returns the histogram with a name; the unit is part of the name. */
  public Histogram histogram(MetricName name) {
    return registry.histogram(name.text());
  }

  /** Returns the timer with a name; it is rendered in seconds. */
  public Timer timer(MetricName name) {
    return registry.timer(name.text());
  }

  /**
   * Registers a gauge that is read when the metrics are rendered; if the name is taken, the
   * existing gauge is kept.
   */
  public void gauge(MetricName name, Gauge<? extends Number> gauge) {
    registry.gauge(name.text(), () -> gauge);
  }

  /** Registers the size, capacity and rejections of a ring. */
  public void registerRing(Ring<?> ring) {
    gauge(MetricNames.RING_EVENTS.with(RING_LABEL, ring.name()), ring::size);
    gauge(MetricNames.RING_CAPACITY.with(RING_LABEL, ring.name()), ring::capacity);
    gauge(MetricNames.RING_REFUSALS.with(RING_LABEL, ring.name()), ring::rejections);
  }

  /** Registers processor time, heap, threads and uptime of this process. */
  public void registerProcess() {
    gauge(MetricNames.PROCESS_CPU_SECONDS, ProcessStatistics::cpuSeconds);
    gauge(MetricNames.PROCESS_HEAP_BYTES, ProcessStatistics::heapBytes);
    gauge(MetricNames.PROCESS_THREADS, ProcessStatistics::threads);
    gauge(MetricNames.PROCESS_UPTIME_SECONDS, ProcessStatistics::uptimeSeconds);
  }

  /** Renders all metrics in the Prometheus text format. */
  public String render() {
    return PrometheusText.render(registry);
  }
}
