package org.parsleyhead.operator.fleet;

import java.util.List;
import java.util.stream.Stream;
import org.parsleyhead.runtime.administration.TicketStatus;
import org.parsleyhead.runtime.log.EventLine;

/**
 * Compares what hosts say of their tickets.
 *
 * <p>Immutable and thread-safe, without input or output.
 *
 * @param answers the answers, in the order of the questions
 */
public record FleetStatus(List<HostAnswer> answers) {

  /** Copies the answers. */
  public FleetStatus {
    answers = List.copyOf(answers);
  }

  /** Tells whether all hosts answered and hold the same items of the same tickets. */
  public boolean isUniform() {
    boolean complete = answers.stream().allMatch(answer -> answer.status().isPresent());
    long states =
        answers.stream()
            .flatMap(answer -> answer.status().stream())
            .map(status -> List.of(status.inForce(), status.digest()))
            .distinct()
            .count();
    return complete && states <= 1;
  }

  /** Returns a line of pairs for each host, and one for all of them. */
  public List<String> lines() {
    List<String> hosts = answers.stream().map(FleetStatus::line).toList();
    return Stream.concat(
            hosts.stream(),
            Stream.of(EventLine.of("hosts", answers.size(), "uniform", isUniform())))
        .toList();
  }

  private static String line(HostAnswer answer) {
    if (answer.status().isEmpty()) {
      return EventLine.of("endpoint", answer.endpoint(), "error", answer.error());
    }
    TicketStatus status = answer.status().get();
    return EventLine.of(
        "endpoint",
        answer.endpoint(),
        "host",
        status.host(),
        "ticket",
        status.inForce(),
        "heard_of",
        status.heardOf(),
        "items",
        status.items(),
        "digest",
        status.digest(),
        "heard_from",
        status.heardFrom());
  }
}
