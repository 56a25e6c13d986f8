package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The set of merged tickets: all up to a number, and individual ones above it.
 *
 * <p>Immutable and thread-safe. Merged tickets are never removed from the set.
 *
 * @param through the number up to which all tickets are merged
 * @param above the numbers of the merged tickets above {@code through}
 */
record AppliedTickets(long through, PSet<Long> above) {

  static final AppliedTickets NONE = new AppliedTickets(0, HashTreePSet.empty());

  boolean contains(long number) {
    return number <= through || above.contains(number);
  }

  AppliedTickets plus(long number) {
    return contains(number) ? this : new AppliedTickets(through, above.plus(number)).compacted();
  }

  /** Adds all tickets up to a number. */
  AppliedTickets plusThrough(long number) {
    return number <= through ? this : new AppliedTickets(number, above).compacted();
  }

  /** Returns the lowest numbers, up to a bound, of tickets that are not merged. */
  List<Long> missing(long bound, int limit) {
    List<Long> missing = new ArrayList<>();
    for (long number = through + 1; number <= bound && missing.size() < limit; number++) {
      if (!above.contains(number)) {
        missing.add(number);
      }
    }
    return missing;
  }

  /** Moves {@code through} past the contiguous numbers above it. */
  private AppliedTickets compacted() {
    long highestContiguous = through;
    while (above.contains(highestContiguous + 1)) {
      highestContiguous++;
    }
    long newThrough = highestContiguous;
    List<Long> covered = above.stream().filter(number -> number <= newThrough).toList();
    return new AppliedTickets(highestContiguous, above.minusAll(covered));
  }
}
