package org.parsleyhead.core.api;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: orders candidates by preference for a key; all hosts with equal candidates
 * get the same order.
 *
 * <p>Stateless and thread-safe. When a candidate leaves, the others keep their order.
 */
public final class Rendezvous {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /** Returns the candidates in the order of preference for a key. */
  public static <C extends Comparable<? super C>> List<C> order(
      String key, Collection<C> candidates) {
    return candidates.stream().sorted(preference(key)).toList();
  }

  /** Returns the most preferred candidate for a key; empty if there are none. */
  public static <C extends Comparable<? super C>> Optional<C> first(
      String key, Collection<C> candidates) {
    return candidates.stream().min(preference(key));
  }

  /** Returns a well-mixed 64-bit hash of a text, equal on all hosts. */
  public static long hash(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the weight of a candidate for a key, from the hashes of both; the preferred candidate
   * has the highest weight.
   */
  public static long weight(long keyHash, long candidateHash) {
    return mix(keyHash ^ candidateHash);
  }

  private static <C extends Comparable<? super C>> Comparator<C> preference(String key) {
    long seed = hash(key);
    Comparator<C> byWeight =
        Comparator.comparingLong(candidate -> weight(seed, hash(candidate.toString())));
    return byWeight.reversed().thenComparing(Comparator.naturalOrder());
  }

  /** The finalizer of the SplitMix64 generator. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
