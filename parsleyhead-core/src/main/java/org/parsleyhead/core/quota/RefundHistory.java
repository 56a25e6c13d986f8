package org.parsleyhead.core.quota;

import java.util.Arrays;

/**
 * The least spare room that a token bucket has had since each of its charges.
 *
 * <p>Immutable and thread-safe. Tokens that a request reserved and did not use may be given back
 * only as far as the bucket would have had room for them at every instant since the reservation:
 * otherwise the account would get back what it would have lost to a full bucket. Observations are
 * kept as a list of suffix minima, at most {@value #MAXIMUM_ENTRIES} long; when it is full, the two
 * neighbours that differ least are joined to the lower one, which can only make refunds smaller.
 */
final class RefundHistory {

  static final RefundHistory EMPTY = new RefundHistory(new long[0], new long[0], 0);

  private static final int MAXIMUM_ENTRIES = 64;

  private final long[] marks;
  private final long[] minima;
  private final long nextMark;

  private RefundHistory(long[] marks, long[] minima, long nextMark) {
    this.marks = marks;
    this.minima = minima;
    this.nextMark = nextMark;
  }

  /** Returns the mark of all observations from now on. */
  long nextMark() {
    return nextMark;
  }

  /** Returns this history with one more observation of the spare room. */
  RefundHistory observe(long room) {
    int kept = minima.length;
    while (kept > 0 && minima[kept - 1] >= room) {
      kept--;
    }
    if (kept == MAXIMUM_ENTRIES) {
      return joined().observe(room);
    }
    long[] newMarks = Arrays.copyOf(marks, kept + 1);
    long[] newMinima = Arrays.copyOf(minima, kept + 1);
    newMarks[kept] = nextMark;
    newMinima[kept] = room;
    return new RefundHistory(newMarks, newMinima, nextMark + 1);
  }

  /** Returns the least room observed since a mark; the largest number if none was observed. */
  long leastSince(long mark) {
    int index = Arrays.binarySearch(marks, mark);
    int first = index >= 0 ? index : -index - 1;
    return first < minima.length ? minima[first] : Long.MAX_VALUE;
  }

  /** Joins the two neighbours whose minima differ least. */
  private RefundHistory joined() {
    int closest = 0;
    for (int index = 1; index + 1 < minima.length; index++) {
      if (minima[index + 1] - minima[index] < minima[closest + 1] - minima[closest]) {
        closest = index;
      }
    }
    long[] newMarks = new long[minima.length - 1];
    long[] newMinima = new long[minima.length - 1];
    System.arraycopy(marks, 0, newMarks, 0, closest);
    System.arraycopy(minima, 0, newMinima, 0, closest + 1);
    System.arraycopy(marks, closest + 1, newMarks, closest, newMarks.length - closest);
    System.arraycopy(minima, closest + 2, newMinima, closest + 1, newMinima.length - closest - 1);
    return new RefundHistory(newMarks, newMinima, nextMark);
  }
}
