package org.parsleyhead.operator.fleet;

import java.util.List;
import java.util.stream.Stream;
import org.parsleyhead.runtime.administration.TicketStatus;
import org.parsleyhead.runtime.log.EventLine;

/**
 * Compares the ticket status of several hosts.
 *
 * <p>Immutable and thread-safe, without input or output.
 *
 * @param results the results, in the order of the queries
 */
public record FleetStatus(List<HostStatusResult> results) {

  /** Copies the results. */
  public FleetStatus {
    results = List.copyOf(results);
  }

  /** Returns whether all hosts responded and have the same items from the same tickets. */
  public boolean isUniform() {
    boolean complete = results.stream().allMatch(result -> result.status().isPresent());
    long states =
        results.stream()
            .flatMap(result -> result.status().stream())
            .map(status -> List.of(status.appliedThrough(), status.digest()))
            .distinct()
            .count();
    return complete && states <= 1;
  }

  /** Returns a line of key=value pairs for each host, and one for the fleet. */
  public List<String> lines() {
    List<String> hosts = results.stream().map(FleetStatus::line).toList();
    return Stream.concat(
            hosts.stream(),
            Stream.of(EventLine.of("hosts", results.size(), "uniform", isUniform())))
        .toList();
  }

  private static String line(HostStatusResult result) {
    if (result.status().isEmpty()) {
      return EventLine.of("endpoint", result.endpoint(), "error", result.error());
    }
    TicketStatus status = result.status().get();
    return EventLine.of(
        "endpoint",
        result.endpoint(),
        "host",
        status.host(),
        "ticket",
        status.appliedThrough(),
        "heard_of",
        status.highestKnown(),
        "items",
        status.items(),
        "digest",
        status.digest(),
        "heard_from",
        status.source());
  }
}
