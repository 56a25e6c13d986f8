package org.parsleyhead.core.dispatch;

import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.PSet;

/**
 * The progress of an active request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param assignment the current phase and instance
 * @param history the attempts so far
 * @param responseStarted whether a part of the response was written to the caller
 * @param loads the load requests so far
 * @param wakeNumber the number of the newest wake event; older events are ignored
 */
record Progress(
    Assignment assignment,
    AttemptHistory history,
    boolean responseStarted,
    LoadRequests loads,
    int wakeNumber) {

  static final Progress INITIAL =
      new Progress(Assignment.WAITING, AttemptHistory.NONE, false, LoadRequests.NONE, 0);

  Phase phase() {
    return assignment.phase();
  }

  Optional<String> instance() {
    return assignment.instance();
  }

  InstanceLoad addedLoad() {
    return assignment.addedLoad();
  }

  int attempts() {
    return history.attempts();
  }

  int possibleRuns() {
    return history.possibleRuns();
  }

  PSet<String> excludedInstances() {
    return history.excluded();
  }

  /** Returns this progress while it waits for a load that was ordered for another request. */
  Progress loading(String target) {
    return awaitingLoad(target, loads.withWait());
  }

  /** Returns this progress while it waits for a load that it asks for now. */
  Progress requestingLoad(String target, MonotonicTime time) {
    return awaitingLoad(target, loads.withRequest(time));
  }

  private Progress awaitingLoad(String target, LoadRequests next) {
    return new Progress(Assignment.loading(target), history, responseStarted, next, wakeNumber + 1);
  }

  Progress waiting() {
    return new Progress(Assignment.WAITING, history, responseStarted, loads, wakeNumber + 1);
  }

  /** Returns this progress while it waits for a host that may order the load. */
  Progress waitingForOwner(MonotonicTime expectedAt) {
    return new Progress(
        Assignment.WAITING,
        history,
        responseStarted,
        loads.withOwnerExpected(expectedAt),
        wakeNumber + 1);
  }

  Progress sent(String target, InstanceLoad load, SendEstimate estimate) {
    return new Progress(
        Assignment.sent(target, load, estimate),
        history.withSent(),
        responseStarted,
        loads,
        wakeNumber + 1);
  }

  /** Returns this progress after the response has started, by when the prompt is processed. */
  Progress withResponseStarted() {
    InstanceLoad unread = new InstanceLoad(0, addedLoad().pendingPromptTokens(), 0);
    return new Progress(
        assignment.withAnswering(addedLoad().minus(unread)), history, true, loads, wakeNumber);
  }

  /** Returns this progress after the response has started, with all load still added. */
  Progress withUncountedResponseStart() {
    return new Progress(assignment.withAnswering(addedLoad()), history, true, loads, wakeNumber);
  }

  /**
   * Returns this progress after the attempt has ended and its load was released.
   *
   * @param next the attempts including the outcome of this one
   */
  Progress withAttemptEnded(AttemptHistory next) {
    return new Progress(
        assignment.withAddedLoad(InstanceLoad.NONE), next, responseStarted, loads, wakeNumber + 1);
  }

  Progress withoutExclusions() {
    return new Progress(
        assignment, history.withoutExclusions(), responseStarted, loads, wakeNumber);
  }

  Progress withoutLoadRequests() {
    return new Progress(assignment, history, responseStarted, loads.withoutRow(), wakeNumber);
  }

  Progress withNextWake() {
    return new Progress(assignment, history, responseStarted, loads, wakeNumber + 1);
  }

  /** Returns this progress with or without a retry that was charged for the next attempt. */
  Progress withRetryReserved(boolean reserved) {
    return new Progress(
        assignment, history.withRetryReserved(reserved), responseStarted, loads, wakeNumber);
  }
}
