package org.parsleyhead.runtime.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.parsleyhead.core.api.Preconditions;
import org.parsleyhead.runtime.duty.Ring;

/**
 * The metrics of one process, by typed names.
 *
 * <p>Thread-safe. Asking twice for a name gives the same metric. Label values come from settings
 * and tickets, never from callers, so the number of metrics is bounded.
 */
public final class Metrics {

  private static final String RING_LABEL = "ring";

  private final MetricRegistry registry;

  /** Creates a view of a registry. */
  public Metrics(MetricRegistry registry) {
    this.registry = Preconditions.requireNonNull(registry, "registry");
  }

  /** Returns a counter. */
  public Counter counter(MetricName name) {
    return registry.counter(name.text());
  }

  /** Returns a histogram; the unit stands in the name. */
  public Histogram histogram(MetricName name) {
    return registry.histogram(name.text());
  }

  /** Returns a timer; it is rendered in seconds. */
  public Timer timer(MetricName name) {
    return registry.timer(name.text());
  }

  /** Registers a value that is read when the metrics are rendered; the first one stays. */
  public void gauge(MetricName name, Gauge<? extends Number> gauge) {
    registry.gauge(name.text(), () -> gauge);
  }

  /** Registers the size, capacity and refusals of a ring. */
  public void ring(Ring<?> ring) {
    gauge(MetricNames.RING_EVENTS.with(RING_LABEL, ring.name()), ring::size);
    gauge(MetricNames.RING_CAPACITY.with(RING_LABEL, ring.name()), ring::capacity);
    gauge(MetricNames.RING_REFUSALS.with(RING_LABEL, ring.name()), ring::refusals);
  }

  /** Registers processor time, heap, threads and age of this process. */
  public void process() {
    gauge(MetricNames.PROCESS_CPU_SECONDS, ProcessFigures::cpuSeconds);
    gauge(MetricNames.PROCESS_HEAP_BYTES, ProcessFigures::heapBytes);
    gauge(MetricNames.PROCESS_THREADS, ProcessFigures::threads);
    gauge(MetricNames.PROCESS_UPTIME_SECONDS, ProcessFigures::uptimeSeconds);
  }

  /** Renders all metrics in the Prometheus text form. */
  public String render() {
    return PrometheusText.render(registry);
  }
}
