package org.parsleyhead.runtime.metrics;

import java.lang.management.ManagementFactory;
import java.time.Duration;

/** Reads resource usage of this process from the JDK. Stateless and thread-safe. */
final class ProcessStatistics {

  private static final double MILLISECONDS_PER_SECOND = 1_000.0;
  private static final double NANOSECONDS_PER_SECOND = 1_000_000_000.0;

  private ProcessStatistics() {}

  /** Returns the processor time of all threads, including terminated ones. */
  static double cpuSeconds() {
    return ProcessHandle.current()
        .info()
        .totalCpuDuration()
        .map(Duration::toNanos)
        .map(nanoseconds -> nanoseconds / NANOSECONDS_PER_SECOND)
        .orElse(0.0);
  }

  static long heapBytes() {
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  static int threads() {
    return ManagementFactory.getThreadMXBean().getThreadCount();
  }

  static double uptimeSeconds() {
    return ManagementFactory.getRuntimeMXBean().getUptime() / MILLISECONDS_PER_SECOND;
  }
}
