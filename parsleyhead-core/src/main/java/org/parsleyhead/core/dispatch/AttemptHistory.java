package org.parsleyhead.core.dispatch;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The attempts of one request so far.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempts the number of attempts that were sent
 * @param possibleRuns the number of attempts that may have run
 * @param misdirected the instances that answered once that they do not hold the adapter
 * @param excluded the instances that must not be chosen again
 * @param left the instances that were left for their silence and have not ended their response
 * @param retryReserved whether the retry budget was charged for the next attempt already
 */
record AttemptHistory(
    int attempts,
    int possibleRuns,
    PSet<String> misdirected,
    PSet<String> excluded,
    PSet<String> left,
    boolean retryReserved) {

  static final AttemptHistory NONE =
      new AttemptHistory(
          0, 0, HashTreePSet.empty(), HashTreePSet.empty(), HashTreePSet.empty(), false);

  AttemptHistory withSent() {
    return new AttemptHistory(attempts + 1, possibleRuns + 1, misdirected, excluded, left, false);
  }

  /** Returns this history after the last attempt ended without a run. */
  AttemptHistory withoutRun() {
    return new AttemptHistory(
        attempts, possibleRuns - 1, misdirected, excluded, left, retryReserved);
  }

  AttemptHistory withExcluded(String instance) {
    return new AttemptHistory(
        attempts, possibleRuns, misdirected, excluded.plus(instance), left, retryReserved);
  }

  /**
   * Returns this history after an instance answered that it does not hold the adapter. The second
   * such answer excludes the instance, since every further attempt there would use the retry budget
   * of all hosts.
   */
  AttemptHistory withMisdirected(String instance) {
    return misdirected.contains(instance)
        ? withExcluded(instance)
        : new AttemptHistory(
            attempts, possibleRuns, misdirected.plus(instance), excluded, left, retryReserved);
  }

  /** Returns this history after an instance was left for its silence. */
  AttemptHistory withLeft(String instance) {
    return new AttemptHistory(
        attempts, possibleRuns, misdirected, excluded, left.plus(instance), retryReserved);
  }

  /** Returns this history after an instance has ended its response itself. */
  AttemptHistory withEnded(String instance) {
    return new AttemptHistory(
        attempts, possibleRuns, misdirected, excluded, left.minus(instance), retryReserved);
  }

  AttemptHistory withoutExclusions() {
    return new AttemptHistory(
        attempts, possibleRuns, misdirected, HashTreePSet.empty(), left, retryReserved);
  }

  AttemptHistory withRetryReserved(boolean reserved) {
    return new AttemptHistory(attempts, possibleRuns, misdirected, excluded, left, reserved);
  }
}
