package org.parsleyhead.core.quota;

import java.util.Arrays;

/**
 * The minimum spare capacity that a token bucket has had since each of its charges.
 *
 * <p>Immutable and thread-safe. Tokens that a request reserved but did not use may be refunded only
 * as far as the bucket would have had capacity for them at every instant since the reservation;
 * otherwise the account would regain tokens that a full bucket would have discarded. Observations
 * are stored as a list of suffix minima with at most {@value #MAXIMUM_ENTRIES} entries. When the
 * list is full, the two adjacent entries that differ least are merged into the lower one, which can
 * only make refunds smaller.
 */
final class RefundHistory {

  static final RefundHistory EMPTY = new RefundHistory(new long[0], new long[0], 0);

  private static final int MAXIMUM_ENTRIES = 64;

  private final long[] positions;
  private final long[] minima;
  private final long nextPosition;

  private RefundHistory(long[] positions, long[] minima, long nextPosition) {
    this.positions = positions;
    this.minima = minima;
    this.nextPosition = nextPosition;
  }

  /** Returns the position of the next observation. */
  long nextPosition() {
    return nextPosition;
  }

  /** Returns this history with one more observation of the spare capacity. */
  RefundHistory observe(long spareCapacity) {
    int kept = minima.length;
    while (kept > 0 && minima[kept - 1] >= spareCapacity) {
      kept--;
    }
    if (kept == MAXIMUM_ENTRIES) {
      return withClosestMerged().observe(spareCapacity);
    }
    long[] newPositions = Arrays.copyOf(positions, kept + 1);
    long[] newMinima = Arrays.copyOf(minima, kept + 1);
    newPositions[kept] = nextPosition;
    newMinima[kept] = spareCapacity;
    return new RefundHistory(newPositions, newMinima, nextPosition + 1);
  }

  /**
   * Returns the minimum observed since a position; {@link Long#MAX_VALUE} if there was no
   * observation.
   */
  long minimumSince(long position) {
    int index = Arrays.binarySearch(positions, position);
    int first = index >= 0 ? index : -index - 1;
    return first < minima.length ? minima[first] : Long.MAX_VALUE;
  }

  /** Merges the two adjacent entries whose minima differ least. */
  private RefundHistory withClosestMerged() {
    int closest = 0;
    for (int index = 1; index + 1 < minima.length; index++) {
      if (minima[index + 1] - minima[index] < minima[closest + 1] - minima[closest]) {
        closest = index;
      }
    }
    long[] newPositions = new long[minima.length - 1];
    long[] newMinima = new long[minima.length - 1];
    System.arraycopy(positions, 0, newPositions, 0, closest);
    System.arraycopy(minima, 0, newMinima, 0, closest + 1);
    System.arraycopy(positions, closest + 1, newPositions, closest, newPositions.length - closest);
    System.arraycopy(minima, closest + 2, newMinima, closest + 1, newMinima.length - closest - 1);
    return new RefundHistory(newPositions, newMinima, nextPosition);
  }
}
