package org.parsleyhead.integration.measure;

import java.util.Optional;
import org.parsleyhead.integration.fleet.EntryHost;
import org.parsleyhead.integration.fleet.HttpCalls;

/**
 * Some metrics of an entry host at a moment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param nanoseconds when it was read, as {@link System#nanoTime()}
 * @param processorSeconds processor time of the process so far
 * @param heapBytes heap in use
 * @param sentBytes bytes sent to other entry hosts so far
 * @param activeRequests requests that it holds
 */
record HostSample(
    long nanoseconds,
    double processorSeconds,
    double heapBytes,
    double sentBytes,
    double activeRequests) {

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Reads the metrics of a host. */
  static HostSample of(HttpCalls calls, EntryHost host) {
    String text =
        calls.call("GET", host.administration(), "/metrics", java.util.Map.of(), "").body();
    return new HostSample(
        System.nanoTime(),
        value(text, "parsleyhead_process_cpu_seconds_total"),
        value(text, "parsleyhead_process_heap_bytes"),
        value(text, "parsleyhead_peer_sent_bytes_total"),
        value(text, "parsleyhead_active_requests"));
  }

  /** Returns the seconds since another sample. */
  double secondsSince(HostSample earlier) {
    return (nanoseconds - earlier.nanoseconds) / NANOSECONDS_PER_SECOND;
  }

  /** Returns the share of a processor used since another sample. */
  double processorsSince(HostSample earlier) {
    return (processorSeconds - earlier.processorSeconds) / secondsSince(earlier);
  }

  private static double value(String text, String name) {
    Optional<String> line =
        text.lines().filter(candidate -> candidate.startsWith(name + " ")).findFirst();
    return line.map(found -> Double.parseDouble(found.substring(name.length() + 1).strip()))
        .orElse(0.0);
  }
}
