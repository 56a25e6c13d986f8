package org.parsleyhead.load.plan;

import java.util.Arrays;

/**
 * A Zipf distribution over a fixed number of ranks.
 *
 * <p>Immutable and thread-safe.
 */
final class ZipfDistribution {

  private final double[] cumulative;

  /**
   * Creates a distribution in which rank {@code r}, starting at one, has the weight {@code
   * r^-exponent}.
   */
  ZipfDistribution(int count, double exponent) {
    cumulative = new double[count];
    double sum = 0;
    for (int rank = 0; rank < count; rank++) {
      sum += Math.pow(rank + 1, -exponent);
      cumulative[rank] = sum;
    }
  }

  /** Returns the rank, starting at zero, for a uniform sample between zero and one. */
  int rank(double sample) {
    double weight = sample * cumulative[cumulative.length - 1];
    int index = Arrays.binarySearch(cumulative, weight);
    return Math.min(cumulative.length - 1, index >= 0 ? index : -index - 1);
  }
}
