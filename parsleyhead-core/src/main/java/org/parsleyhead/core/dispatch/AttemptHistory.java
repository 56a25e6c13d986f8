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
 * @param retryReserved whether the retry budget was charged for the next attempt already
 */
record AttemptHistory(
    int attempts,
    int possibleRuns,
    PSet<String> misdirected,
    PSet<String> excluded,
    boolean retryReserved) {

  static final AttemptHistory NONE =
      new AttemptHistory(0, 0, HashTreePSet.empty(), HashTreePSet.empty(), false);

  AttemptHistory withSent() {
    return new AttemptHistory(attempts + 1, possibleRuns + 1, misdirected, excluded, false);
  }

  /** Returns this history after the last attempt ended without a run. */
  AttemptHistory withoutRun() {
    return new AttemptHistory(attempts, possibleRuns - 1, misdirected, excluded, retryReserved);
  }

  AttemptHistory withExcluded(String instance) {
    return new AttemptHistory(
        attempts, possibleRuns, misdirected, excluded.plus(instance), retryReserved);
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
            attempts, possibleRuns, misdirected.plus(instance), excluded, retryReserved);
  }

  AttemptHistory withoutExclusions() {
    return new AttemptHistory(
        attempts, possibleRuns, misdirected, HashTreePSet.empty(), retryReserved);
  }

  AttemptHistory withRetryReserved(boolean reserved) {
    return new AttemptHistory(attempts, possibleRuns, misdirected, excluded, reserved);
  }
}
