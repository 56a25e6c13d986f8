package org.parsleyhead.core.membership;

import java.util.List;

/** Derives numbers from a random number. Stateless and thread-safe. */
public final class RandomNumbers {

  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private RandomNumbers() {}

  /** Returns the number at an index of the SplitMix64 sequence that the random number seeds. */
  public static long derive(long randomNumber, int index) {
    long mixed = randomNumber + GOLDEN_GAMMA * (index + 1L);
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns the element of a non-empty list that the random number selects. */
  public static <T> T choose(List<T> elements, long randomNumber) {
    return elements.get((int) Math.floorMod(randomNumber, (long) elements.size()));
  }
}
