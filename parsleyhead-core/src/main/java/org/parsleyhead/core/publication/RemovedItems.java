package org.parsleyhead.core.publication;

import java.util.Map;
import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The last known versions of deleted items, so that a restored copy of the store does not bring
 * back a server that was removed.
 *
 * <p>Immutable and thread-safe. Only the most recent deletions are kept.
 *
 * @param byKey the deletions, by key
 * @param deletions the number of deletions recorded so far, which orders them
 */
record RemovedItems(PMap<String, Removal> byKey, long deletions) {

  static final RemovedItems NONE = new RemovedItems(HashTreePMap.empty(), 0);

  /**
   * Exceeds the number of servers that are removed within the age of a restored copy (20 s) many
   * times, at less than 1 MB.
   */
  static final int MAXIMUM_SIZE = 2_048;

  /**
   * A deletion.
   *
   * <p>Immutable and thread-safe.
   *
   * @param version the last known version of the item
   * @param order the number of this deletion
   */
  record Removal(ItemVersion version, long order) {}

  /** Returns these deletions with a further one; an item without a version is not recorded. */
  RemovedItems with(String key, Optional<ItemVersion> version) {
    if (version.isEmpty()) {
      return this;
    }
    PMap<String, Removal> next = byKey.plus(key, new Removal(version.get(), deletions));
    if (next.size() > MAXIMUM_SIZE) {
      next =
          next.minus(
              next.entrySet().stream()
                  .min((a, b) -> Long.compare(a.getValue().order(), b.getValue().order()))
                  .map(Map.Entry::getKey)
                  .orElseThrow());
    }
    return new RemovedItems(next, deletions + 1);
  }

  RemovedItems without(String key) {
    return byKey.containsKey(key) ? new RemovedItems(byKey.minus(key), deletions) : this;
  }
}
