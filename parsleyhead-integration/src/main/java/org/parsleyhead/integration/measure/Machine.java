package org.parsleyhead.integration.measure;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Describes the machine on which an experiment runs. Stateless and thread-safe. */
final class Machine {

  private static final long BYTES_PER_MEBIBYTE = 1 << 20;

  private Machine() {}

  /** Returns a row with the time, processors, memory, Java version and load average. */
  static ReportRow describe() {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return ReportRow.of("machine")
        .with("time", Instant.now().truncatedTo(ChronoUnit.SECONDS).toString())
        .with("processors", system.getAvailableProcessors())
        .with("memory_mebibytes", system.getTotalMemorySize() / BYTES_PER_MEBIBYTE)
        .with("java", System.getProperty("java.version"))
        .with("load_average_1_minute", system.getSystemLoadAverage());
  }

  /** Returns the processor time of this process in nanoseconds. */
  static long processCpuNanoseconds() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
