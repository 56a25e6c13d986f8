package org.parsleyhead.integration.measure;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Describes the machine and its load. Stateless and thread-safe. */
final class Machine {

  private static final long BYTES_PER_MEBIBYTE = 1 << 20;

  private Machine() {}

  /** Returns processors, memory, load and time. */
  static Figures figures() {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return Figures.of("machine")
        .with("time", Instant.now().truncatedTo(ChronoUnit.SECONDS).toString())
        .with("processors", system.getAvailableProcessors())
        .with("memory_mebibytes", system.getTotalMemorySize() / BYTES_PER_MEBIBYTE)
        .with("java", System.getProperty("java.version"))
        .with("load_average_1_minute", system.getSystemLoadAverage());
  }

  /** Returns the processor time of this process. */
  static long processorNanoseconds() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
