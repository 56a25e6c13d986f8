package org.parsleyhead.integration.measure;

/** Measures time and heap in this process. Stateless and thread-safe. */
final class Cost {

  private static final double NANOSECONDS_PER_MICROSECOND = 1e3;
  private static final int COLLECTIONS = 3;

  private Cost() {}

  /** Returns the mean time of an event in microseconds. */
  static double microsecondsEach(int count, Runnable events) {
    long start = System.nanoTime();
    events.run();
    return (System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND / Math.max(1, count);
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
