package org.parsleyhead.runtime.metrics;

/**
 * The names of the metrics that every process has. A unit is part of the name.
 *
 * <p>Stateless and thread-safe.
 */
public final class MetricNames {

  /** The prefix of all metrics of parsleyhead. */
  public static final String PREFIX = "parsleyhead_";

  /** Pending events in a ring. */
  public static final MetricName RING_EVENTS = MetricName.of(PREFIX + "ring_events");

  /** Maximum number of pending events in a ring. */
  public static final MetricName RING_CAPACITY = MetricName.of(PREFIX + "ring_capacity_events");

  /** Events rejected by a full ring. */
  public static final MetricName RING_REFUSALS = MetricName.of(PREFIX + "ring_refusals_total");

  /** Processor time used by the process. */
  public static final MetricName PROCESS_CPU_SECONDS =
      MetricName.of(PREFIX + "process_cpu_seconds_total");

  /** Heap memory in use. */
  public static final MetricName PROCESS_HEAP_BYTES = MetricName.of(PREFIX + "process_heap_bytes");

  /** Live threads. */
  public static final MetricName PROCESS_THREADS = MetricName.of(PREFIX + "process_threads");

  /** Seconds since the process started. */
  public static final MetricName PROCESS_UPTIME_SECONDS =
      MetricName.of(PREFIX + "process_uptime_seconds");

  private MetricNames() {}
}
