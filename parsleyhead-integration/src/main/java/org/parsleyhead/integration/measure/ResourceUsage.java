package org.parsleyhead.integration.measure;

import java.lang.management.ManagementFactory;

/** Measures processor time and heap usage of this process. Stateless and thread-safe. */
final class ResourceUsage {

  private static final double NANOSECONDS_PER_MICROSECOND = 1e3;
  private static final int GARBAGE_COLLECTIONS = 3;

  private ResourceUsage() {}

  /** Returns the processor time of the current thread in nanoseconds. */
  static long threadCpuNanoseconds() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /**
   * Returns the mean processor time of an event in microseconds.
   *
   * @param count the number of events
   * @param events runs all events on the current thread
   */
  static double meanCpuMicroseconds(int count, Runnable events) {
    long start = threadCpuNanoseconds();
    events.run();
    return (threadCpuNanoseconds() - start) / NANOSECONDS_PER_MICROSECOND / Math.max(1, count);
  }

  /** Returns the used heap in bytes after garbage collections. */
  static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int count = 0; count < GARBAGE_COLLECTIONS; count++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
