package org.parsleyhead.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.parsleyhead.core.instance.AdapterKey;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An estimate of the prompt prefixes in the cache of an instance.
 *
 * <p>Immutable and thread-safe. Approximates the eviction of least recently used prefixes by two
 * generations, each of which holds half of the tokens that the instance caches. The old generation
 * is discarded when the young one is full.
 *
 * @param young the tokens of each prefix hash in the young generation
 * @param old the tokens of each prefix hash in the old generation
 * @param youngTokens the total tokens of the young generation
 */
record PrefixCacheEstimate(PMap<Long, Integer> young, PMap<Long, Integer> old, long youngTokens) {

  static final PrefixCacheEstimate EMPTY =
      new PrefixCacheEstimate(HashTreePMap.empty(), HashTreePMap.empty(), 0);

  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

  /** Returns the hashes of all prefixes of a prompt, the shortest first. */
  static List<Long> prefixHashes(ModelWork work) {
    List<Long> hashes = new ArrayList<>();
    long hash = seed(work.adapter());
    for (PromptPart part : work.parts()) {
      hash = Long.rotateLeft(hash * HASH_MULTIPLIER ^ part.identity(), 27) * HASH_MULTIPLIER;
      hashes.add(hash);
    }
    return hashes;
  }

  /** Returns the tokens of the longest cached prefix of a prompt, which need no prefill. */
  int cachedTokens(ModelWork work, List<Long> prefixHashes) {
    int tokens = 0;
    for (int index = 0; index < prefixHashes.size(); index++) {
      if (!holds(prefixHashes.get(index))) {
        return tokens;
      }
      tokens += work.parts().get(index).tokens();
    }
    return tokens;
  }

  /** Returns this estimate after a prompt was sent to the instance. */
  PrefixCacheEstimate withPrompt(ModelWork work, List<Long> prefixHashes, long capacityTokens) {
    PMap<Long, Integer> next = young;
    long tokens = youngTokens;
    for (int index = 0; index < prefixHashes.size(); index++) {
      if (!next.containsKey(prefixHashes.get(index))) {
        int added = work.parts().get(index).tokens();
        next = next.plus(prefixHashes.get(index), added);
        tokens += added;
      }
    }
    return tokens > capacityTokens / 2
        ? new PrefixCacheEstimate(HashTreePMap.empty(), next, 0)
        : new PrefixCacheEstimate(next, old, tokens);
  }

  private boolean holds(long prefixHash) {
    return young.containsKey(prefixHash) || old.containsKey(prefixHash);
  }

  private static long seed(AdapterKey adapter) {
    return adapter.hashCode() * HASH_MULTIPLIER;
  }
}
