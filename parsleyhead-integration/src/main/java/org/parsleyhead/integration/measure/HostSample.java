package org.parsleyhead.integration.measure;

import java.util.Optional;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.FleetHttpClient;

/**
 * Metrics of an entry host at one point in time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nanoseconds when the metrics were read, by {@link System#nanoTime()}
 * @param cpuSeconds the processor time of the process so far, in seconds
 * @param heapBytes the used heap in bytes
 * @param peerBytesSent the bytes sent to other entry hosts so far
 * @param activeRequests the number of active requests
 */
record HostSample(
    long nanoseconds,
    double cpuSeconds,
    double heapBytes,
    double peerBytesSent,
    double activeRequests) {

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Reads the metrics of an entry host. */
  static HostSample read(FleetHttpClient client, EntryHost host) {
    String text =
        client
            .call("GET", host.administrationEndpoint(), "/metrics", java.util.Map.of(), "")
            .body();
    return new HostSample(
        System.nanoTime(),
        value(text, "parsleyhead_process_cpu_seconds_total"),
        value(text, "parsleyhead_process_heap_bytes"),
        value(text, "parsleyhead_peer_sent_bytes_total"),
        value(text, "parsleyhead_active_requests"));
  }

  /** Returns the time since an earlier sample, in seconds. */
  double secondsSince(HostSample earlier) {
    return (nanoseconds - earlier.nanoseconds) / NANOSECONDS_PER_SECOND;
  }

  /** Returns the mean number of processors in use since an earlier sample. */
  double cpuCoresSince(HostSample earlier) {
    return (cpuSeconds - earlier.cpuSeconds) / secondsSince(earlier);
  }

  private static double value(String text, String name) {
    Optional<String> line =
        text.lines().filter(candidate -> candidate.startsWith(name + " ")).findFirst();
    return line.map(found -> Double.parseDouble(found.substring(name.length() + 1).strip()))
        .orElse(0.0);
  }
}
