package org.parsleyhead.core.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import org.parsleyhead.core.api.MonotonicTime;

/**
 * Applies what a response reports, and when it came, to the condition of its instance.
 *
 * <p>Stateless and thread-safe.
 */
final class ResponseReports {

  private ResponseReports() {}

  /** Returns an instance after the first event of a stream. */
  static InstanceView started(
      InstanceView view, ActiveRequest active, Optional<ReportedLoad> report, MonotonicTime time) {
    return withResponse(view, report, active.progress().assignment().estimate(), time);
  }

  /** Returns an instance after the end of an attempt, whose load is not added to it any more. */
  static InstanceView ended(
      InstanceView view,
      ActiveRequest active,
      AttemptOutcome outcome,
      Optional<ReportedLoad> report,
      MonotonicTime time) {
    boolean firstResponse =
        outcome == AttemptOutcome.COMPLETED && !active.progress().assignment().answering();
    Optional<SendEstimate> estimate =
        firstResponse ? active.progress().assignment().estimate() : Optional.empty();
    InstanceView next = withResponse(view, report, estimate, time);
    return outcome == AttemptOutcome.NO_ROOM
            && next.condition().load().filter(WeightedLoadReport::statesRoom).isPresent()
        ? next.withCondition(next.condition().withEvidence(true))
        : next;
  }

  private static InstanceView withResponse(
      InstanceView view,
      Optional<ReportedLoad> report,
      Optional<SendEstimate> estimate,
      MonotonicTime time) {
    if (report.isEmpty() && (estimate.isEmpty() || !view.condition().reported())) {
      return view;
    }
    ServerCondition next =
        view.condition()
            .withResponse(
                report,
                view.ownLoad().running(),
                estimate.map(sent -> sent.measured(time)).orElse(OptionalDouble.empty()),
                estimate.map(SendEstimate::lowestPace).orElse(1.0),
                time);
    return view.withCondition(
        estimate.map(sent -> next.withEvidence(sent.contradictsQueue(time))).orElse(next));
  }
}
