package org.parsleyhead.core.membership;

import java.util.List;

/** Numbers that are derived from one random number. Stateless and thread-safe. */
public final class RandomNumbers {

  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private RandomNumbers() {}

  /** Returns the derived number at an index: the SplitMix64 generator. */
  public static long derive(long randomNumber, int index) {
    long mixed = randomNumber + GOLDEN_GAMMA * (index + 1L);
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns one of the elements of a list that is not empty. */
  public static <T> T choose(List<T> elements, long randomNumber) {
    return elements.get((int) Math.floorMod(randomNumber, (long) elements.size()));
  }
}
