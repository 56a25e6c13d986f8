package org.parsleyhead.standin.engine;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * A cache of prompt prefix blocks with a fixed capacity and eviction of the least recently used
 * block.
 *
 * <p>Immutable and thread-safe. Both maps always hold the same blocks.
 *
 * @param capacity the maximum number of blocks; zero disables the cache
 * @param useCounter the sequence number of the most recent use
 * @param lastUses the sequence number of the last use, by block
 * @param blocksByUse the block, by the sequence number of its last use
 */
record PrefixCache(
    int capacity, long useCounter, PMap<Long, Long> lastUses, TreePMap<Long, Long> blocksByUse) {

  /** Returns an empty cache. */
  static PrefixCache empty(int capacity) {
    return new PrefixCache(capacity, 0, HashTreePMap.empty(), TreePMap.empty());
  }

  /** Returns how many leading blocks of a prompt are cached. */
  int hits(List<Long> blocks) {
    int hits = 0;
    while (hits < blocks.size() && lastUses.containsKey(blocks.get(hits))) {
      hits++;
    }
    return hits;
  }

  /**
   * Returns the cache after a use of all blocks of a prompt; the first block is the most recent.
   */
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
    Long previousUse = lastUses.get(block);
    TreePMap<Long, Long> updatedBlocks =
        previousUse == null ? blocksByUse : blocksByUse.minus(previousUse);
    PMap<Long, Long> updatedUses = lastUses;
    if (previousUse == null && updatedUses.size() >= capacity) {
      var oldest = updatedBlocks.firstEntry();
      updatedBlocks = updatedBlocks.minus(oldest.getKey());
      updatedUses = updatedUses.minus(oldest.getValue());
    }
    return new PrefixCache(
        capacity, use, updatedUses.plus(block, use), updatedBlocks.plus(use, block));
  }
}
