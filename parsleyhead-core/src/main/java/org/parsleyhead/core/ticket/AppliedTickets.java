package org.parsleyhead.core.ticket;

import java.util.ArrayList;
import java.util.List;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Which tickets are merged: all up to a number, and some above it.
 *
 * <p>Immutable and thread-safe. A merged ticket is never forgotten.
 *
 * @param through the number up to which all tickets are merged
 * @param above the merged tickets above that number
 */
record AppliedTickets(long through, PSet<Long> above) {

  static final AppliedTickets NONE = new AppliedTickets(0, HashTreePSet.empty());

  boolean contains(long number) {
    return number <= through || above.contains(number);
  }

  AppliedTickets plus(long number) {
    return contains(number) ? this : new AppliedTickets(through, above.plus(number)).compacted();
  }

  /** Returns the tickets after all up to a number were merged. */
  AppliedTickets plusThrough(long number) {
    return number <= through ? this : new AppliedTickets(number, above).compacted();
  }

  /** Returns the lowest numbers up to a bound that are not merged. */
  List<Long> missing(long bound, int limit) {
    List<Long> missing = new ArrayList<>();
    for (long number = through + 1; number <= bound && missing.size() < limit; number++) {
      if (!above.contains(number)) {
        missing.add(number);
      }
    }
    return missing;
  }

  private AppliedTickets compacted() {
    long reached = through;
    while (above.contains(reached + 1)) {
      reached++;
    }
    long end = reached;
    List<Long> covered = above.stream().filter(number -> number <= end).toList();
    return new AppliedTickets(reached, above.minusAll(covered));
  }
}
