package org.parsleyhead.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the better one of two candidates that are drawn by the hash of a request.
 *
 * <p>Stateless and thread-safe. Handles many hosts that see the same reports: if all chose the best
 * server of all, they would fill it before the next report.
 */
final class TwoRandomChoices {

  private static final Comparator<Candidate> BY_COST = Comparator.comparingDouble(Candidate::cost);

  private TwoRandomChoices() {}

  /**
   * Returns the better one of the two drawn candidates, or the best of all if neither is within the
   * limit; empty if there are no candidates.
   *
   * @param hash the hash of the request
   * @param limit the highest acceptable cost, in milliseconds
   */
  static Optional<Candidate> choose(List<Candidate> candidates, long hash, double limit) {
    int count = candidates.size();
    if (count <= 1) {
      return candidates.stream().findFirst();
    }
    int first = (int) Long.remainderUnsigned(hash, count);
    int second = (int) Long.remainderUnsigned(Long.divideUnsigned(hash, count), count);
    Candidate better =
        BY_COST.compare(candidates.get(first), candidates.get(second)) <= 0
            ? candidates.get(first)
            : candidates.get(second);
    return better.cost() <= limit ? Optional.of(better) : candidates.stream().min(BY_COST);
  }
}
