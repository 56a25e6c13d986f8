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
 */
record AttemptHistory(
    int attempts, int possibleRuns, PSet<String> misdirected, PSet<String> excluded) {

  static final AttemptHistory NONE =
      new AttemptHistory(0, 0, HashTreePSet.empty(), HashTreePSet.empty());

  AttemptHistory withSent() {
    return new AttemptHistory(attempts + 1, possibleRuns + 1, misdirected, excluded);
  }

  /** Returns this history after the last attempt ended without a run. */
  AttemptHistory withoutRun() {
    return new AttemptHistory(attempts, possibleRuns - 1, misdirected, excluded);
  }

  AttemptHistory withExcluded(String instance) {
    return new AttemptHistory(attempts, possibleRuns, misdirected, excluded.plus(instance));
  }

  /**
   * Returns this history after an instance answered that it does not hold the adapter. The second
   * such answer excludes the instance, since every further attempt there would use the retry budget
   * of all hosts.
   */
  AttemptHistory withMisdirected(String instance) {
    return misdirected.contains(instance)
        ? withExcluded(instance)
        : new AttemptHistory(attempts, possibleRuns, misdirected.plus(instance), excluded);
  }

  AttemptHistory withoutExclusions() {
    return new AttemptHistory(attempts, possibleRuns, misdirected, HashTreePSet.empty());
  }
}
