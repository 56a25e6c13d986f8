package org.parsleyhead.integration.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.parsleyhead.platform.standin.CallerStandin.End;
import org.parsleyhead.platform.standin.CallerStandin.Kind;
import org.parsleyhead.platform.standin.CallerStandin.Outcome;
import org.parsleyhead.platform.standin.PublishedDocuments;
import org.parsleyhead.platform.standin.RunLedger;

/**
 * Finds answers that ended too soon. An answer that has begun ends by its last event, its caller,
 * its deadline, the end of its servers with no run left, or the end of the process after its grace.
 * A request that a host took after the signal of a planned stop, or before it and with time left,
 * is answered.
 *
 * <p>Immutable and thread-safe.
 */
final class CutAnswerChecks {

  /** How long a host answers what it took before a planned stop. */
  private static final Duration GRACE = Duration.ofSeconds(7);

  /** Deadlines are passed on in whole milliseconds and looked at in short intervals. */
  private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(100);

  private final Map<String, List<RunLedger.Run>> runs;
  private final List<HostHistory> hosts;
  private final ServerEnds serverEnds;

  CutAnswerChecks(List<RunLedger.Run> runs, List<HostHistory> hosts, ServerEnds serverEnds) {
    this.runs = runs.stream().collect(Collectors.groupingBy(RunLedger.Run::request));
    this.hosts = List.copyOf(hosts);
    this.serverEnds = serverEnds;
  }

  /** Returns a description of each answer that ended too soon, and of each that did not end. */
  List<String> findViolations(List<Outcome> outcomes) {
    List<String> violations = new ArrayList<>();
    for (Outcome outcome : outcomes) {
      HostHistory host =
          hosts.stream()
              .filter(known -> known.endpoint().equals(outcome.host()))
              .findFirst()
              .orElseThrow();
      violation(outcome, host)
          .ifPresent(
              text -> violations.add(text + ": " + outcome + ownRuns(outcome) + host.stops()));
    }
    return violations;
  }

  private Optional<String> violation(Outcome outcome, HostHistory host) {
    boolean unanswered = outcome.end() == End.CLOSED || outcome.end() == End.GIVEN_UP;
    boolean interrupted =
        host.interruptions().stream()
            .filter(period -> period.overlaps(outcome.sentAt(), outcome.endedAt()))
            .anyMatch(period -> !followsStop(period, outcome, host));
    if (!unanswered || interrupted) {
      return Optional.empty();
    }
    if (outcome.end() == End.GIVEN_UP) {
      return Optional.of("neither answered nor closed long after its deadline");
    }
    if (outcome.begun() && (pastDeadline(outcome) || serversEnded(outcome))) {
      return Optional.empty();
    }
    return host.stops().stream()
        .filter(stop -> stop.overlaps(outcome.sentAt(), outcome.endedAt()))
        .findFirst()
        .map(stop -> violationOfStop(outcome, host, stop))
        .orElseGet(() -> Optional.of("cut by a host that was not stopped"));
  }

  /** Returns whether a process that was to answer had ended by a planned stop by then. */
  private static boolean followsStop(HostHistory.Period period, Outcome outcome, HostHistory host) {
    return host.stops().stream()
        .anyMatch(
            stop ->
                period.from() - stop.exitedAt() >= 0 && outcome.sentAt() - stop.exitedAt() <= 0);
  }

  private Optional<String> violationOfStop(
      Outcome outcome, HostHistory host, HostHistory.Stop stop) {
    boolean passedToServer =
        !ownRuns(outcome).isEmpty() || host.sentRequests().contains(outcome.request());
    if (!outcome.begun() && !passedToServer) {
      return Optional.empty();
    }
    if (outcome.sentAt() - stop.signalledAt() >= 0) {
      return Optional.of("taken after the signal of a planned stop and cut");
    }
    boolean graceUsed = outcome.endedAt() - stop.signalledAt() >= GRACE.toNanos();
    return graceUsed ? Optional.empty() : Optional.of("cut by a planned stop before its grace");
  }

  private static boolean pastDeadline(Outcome outcome) {
    Duration routeTimeout =
        outcome.kind() == Kind.CHAT
            ? PublishedDocuments.STREAM_TIMEOUT
            : PublishedDocuments.PLAIN_TIMEOUT;
    Duration limit =
        outcome.deadline().compareTo(routeTimeout) < 0 ? outcome.deadline() : routeTimeout;
    return outcome.endedAt() - outcome.sentAt() >= limit.minus(DEADLINE_TOLERANCE).toNanos();
  }

  /** Returns whether the servers of a stream may have broken off as often as it may be sent. */
  private boolean serversEnded(Outcome outcome) {
    return ownRuns(outcome).stream()
            .filter(
                run -> serverEnds.endedBetween(run.instance(), run.startedAt(), outcome.endedAt()))
            .count()
        >= PublishedDocuments.STREAM_ATTEMPTS;
  }

  private List<RunLedger.Run> ownRuns(Outcome outcome) {
    return runs.getOrDefault(outcome.request(), List.of());
  }
}
