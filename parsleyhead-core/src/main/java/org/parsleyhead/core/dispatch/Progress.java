package org.parsleyhead.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The progress of an active request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param phase the current phase
 * @param phaseStartedAt when the phase started
 * @param instance the identifier of the chosen instance
 * @param attempts the number of attempts that were sent
 * @param possibleRuns the number of attempts that may have run
 * @param addedLoad the load that the request adds to its instance
 * @param responseStarted whether a part of the response was written to the caller
 * @param excludedInstances the instances that must not be chosen again
 * @param loadRequests the number of load requests
 * @param wakeNumber the number of the newest wake event; older events are ignored
 */
record Progress(
    Phase phase,
    MonotonicTime phaseStartedAt,
    Optional<String> instance,
    int attempts,
    int possibleRuns,
    InstanceLoad addedLoad,
    boolean responseStarted,
    PSet<String> excludedInstances,
    int loadRequests,
    int wakeNumber) {

  static Progress initial(MonotonicTime time) {
    return new Progress(
        Phase.WAITING,
        time,
        Optional.empty(),
        0,
        0,
        InstanceLoad.NONE,
        false,
        HashTreePSet.empty(),
        0,
        0);
  }

  Progress loading(String target, MonotonicTime time) {
    return new Progress(
        Phase.LOADING,
        time,
        Optional.of(target),
        attempts,
        possibleRuns,
        InstanceLoad.NONE,
        responseStarted,
        excludedInstances,
        loadRequests + 1,
        wakeNumber + 1);
  }

  Progress waiting(MonotonicTime time) {
    return new Progress(
        Phase.WAITING,
        time,
        Optional.empty(),
        attempts,
        possibleRuns,
        InstanceLoad.NONE,
        responseStarted,
        excludedInstances,
        loadRequests,
        wakeNumber + 1);
  }

  Progress sent(String target, InstanceLoad load, MonotonicTime time) {
    return new Progress(
        Phase.SENT,
        time,
        Optional.of(target),
        attempts + 1,
        possibleRuns + 1,
        load,
        responseStarted,
        excludedInstances,
        loadRequests,
        wakeNumber + 1);
  }

  /** Returns this progress after the response has started, by when the prompt is processed. */
  Progress withResponseStarted() {
    return new Progress(
        phase,
        phaseStartedAt,
        instance,
        attempts,
        possibleRuns,
        new InstanceLoad(addedLoad.running(), 0, addedLoad.reservedTokens()),
        true,
        excludedInstances,
        loadRequests,
        wakeNumber);
  }

  /**
   * Returns this progress after the attempt has ended.
   *
   * @param notRun whether the request is known not to have run in this attempt
   * @param exclude whether the instance must not be chosen again
   */
  Progress withAttemptEnded(boolean notRun, boolean exclude) {
    return new Progress(
        phase,
        phaseStartedAt,
        instance,
        attempts,
        notRun ? possibleRuns - 1 : possibleRuns,
        InstanceLoad.NONE,
        responseStarted,
        exclude && instance.isPresent()
            ? excludedInstances.plus(instance.get())
            : excludedInstances,
        loadRequests,
        wakeNumber + 1);
  }

  Progress withoutExclusions() {
    return new Progress(
        phase,
        phaseStartedAt,
        instance,
        attempts,
        possibleRuns,
        addedLoad,
        responseStarted,
        HashTreePSet.from(Set.of()),
        loadRequests,
        wakeNumber);
  }

  Progress withoutLoadRequests() {
    return new Progress(
        phase,
        phaseStartedAt,
        instance,
        attempts,
        possibleRuns,
        addedLoad,
        responseStarted,
        excludedInstances,
        0,
        wakeNumber);
  }

  Progress withNextWake() {
    return new Progress(
        phase,
        phaseStartedAt,
        instance,
        attempts,
        possibleRuns,
        addedLoad,
        responseStarted,
        excludedInstances,
        loadRequests,
        wakeNumber + 1);
  }
}
