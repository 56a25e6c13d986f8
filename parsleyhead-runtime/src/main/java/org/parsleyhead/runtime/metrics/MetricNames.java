package org.parsleyhead.runtime.metrics;

/**
 * The metrics that every process has. Units stand in the names.
 *
 * <p>Stateless and thread-safe.
 */
public final class MetricNames {

  /** The prefix of all metrics of the system. */
  public static final String PREFIX = "parsleyhead_";

  /** Events that wait in a ring. */
  public static final MetricName RING_EVENTS = MetricName.of(PREFIX + "ring_events");

  /** The greatest number of events that wait in a ring. */
  public static final MetricName RING_CAPACITY = MetricName.of(PREFIX + "ring_capacity_events");

  /** Events that a full ring refused. */
  public static final MetricName RING_REFUSALS = MetricName.of(PREFIX + "ring_refusals_total");

  /** Processor time that the process has used. */
  public static final MetricName PROCESS_CPU_SECONDS =
      MetricName.of(PREFIX + "process_cpu_seconds_total");

  /** Heap that is in use. */
  public static final MetricName PROCESS_HEAP_BYTES = MetricName.of(PREFIX + "process_heap_bytes");

  /** Threads that live. */
  public static final MetricName PROCESS_THREADS = MetricName.of(PREFIX + "process_threads");

  /** Seconds since the process started. */
  public static final MetricName PROCESS_UPTIME_SECONDS =
      MetricName.of(PREFIX + "process_uptime_seconds");

  private MetricNames() {}
}
