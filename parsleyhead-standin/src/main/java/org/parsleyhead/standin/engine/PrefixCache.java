package org.parsleyhead.standin.engine;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * A cache of prompt prefixes with a limited number of blocks, the least recently used leaving
 * first.
 *
 * <p>Immutable and thread-safe. Both maps always hold the same blocks.
 *
 * @param capacity the greatest number of blocks
 * @param useCounter the number of the last use
 * @param lastUses the last use of each block
 * @param blocksByUse the block of each last use
 */
record PrefixCache(
    int capacity, long useCounter, PMap<Long, Long> lastUses, TreePMap<Long, Long> blocksByUse) {

  /** Returns an empty cache. */
  static PrefixCache empty(int capacity) {
    return new PrefixCache(capacity, 0, HashTreePMap.empty(), TreePMap.empty());
  }

  /** Returns how many of the blocks are cached without a gap from the first. */
  int hits(List<Long> blocks) {
    int hits = 0;
    while (hits < blocks.size() && lastUses.containsKey(blocks.get(hits))) {
      hits++;
    }
    return hits;
  }

  /** Returns the cache after a use of all these blocks. */
  PrefixCache afterUse(List<Long> blocks) {
    PrefixCache cache = this;
    for (int index = blocks.size() - 1; index >= 0; index--) {
      cache = cache.afterUse(blocks.get(index));
    }
    return cache;
  }

  private PrefixCache afterUse(long block) {
    if (capacity == 0) {
      return this;
    }
    long use = useCounter + 1;
    Long earlier = lastUses.get(block);
    TreePMap<Long, Long> byUse = earlier == null ? blocksByUse : blocksByUse.minus(earlier);
    PMap<Long, Long> uses = lastUses;
    if (earlier == null && uses.size() >= capacity) {
      var oldest = byUse.firstEntry();
      byUse = byUse.minus(oldest.getKey());
      uses = uses.minus(oldest.getValue());
    }
    return new PrefixCache(capacity, use, uses.plus(block, use), byUse.plus(use, block));
  }
}
