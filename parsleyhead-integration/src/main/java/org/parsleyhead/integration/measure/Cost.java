package org.parsleyhead.integration.measure;

import java.lang.management.ManagementFactory;

/** Measures processor time and heap in this process. Stateless and thread-safe. */
final class Cost {

  private static final double NANOSECONDS_PER_MICROSECOND = 1e3;
  private static final int COLLECTIONS = 3;

  private Cost() {}

  /** Returns the processor time of the current thread in nanoseconds. */
  static long processorNanoseconds() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the mean processor time of an event in microseconds. */
  static double microsecondsEach(int count, Runnable events) {
    long start = processorNanoseconds();
    events.run();
    return (processorNanoseconds() - start) / NANOSECONDS_PER_MICROSECOND / Math.max(1, count);
  }

  /** Returns the heap in use after collections. */
  static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int count = 0; count < COLLECTIONS; count++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
