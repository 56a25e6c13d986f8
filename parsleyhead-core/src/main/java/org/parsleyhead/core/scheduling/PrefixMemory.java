package org.parsleyhead.core.scheduling;

import java.util.Optional;
import java.util.OptionalLong;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Which engine last got a prompt with a certain beginning.
 *
 * <p>Immutable and thread-safe. Holds two generations of bounded size; the older one is forgotten
 * when the younger one is full.
 *
 * @param young the younger generation
 * @param old the older generation
 */
record PrefixMemory(PMap<Long, UpstreamName> young, PMap<Long, UpstreamName> old) {

  private static final int GENERATION_SIZE = 4096;

  static PrefixMemory empty() {
    return new PrefixMemory(HashTreePMap.empty(), HashTreePMap.empty());
  }

  PrefixMemory remember(OptionalLong prefixHash, UpstreamName engine) {
    if (prefixHash.isEmpty()) {
      return this;
    }
    PMap<Long, UpstreamName> next = young.plus(prefixHash.getAsLong(), engine);
    return next.size() > GENERATION_SIZE
        ? new PrefixMemory(HashTreePMap.empty(), next)
        : new PrefixMemory(next, old);
  }

  Optional<UpstreamName> holder(OptionalLong prefixHash) {
    if (prefixHash.isEmpty()) {
      return Optional.empty();
    }
    UpstreamName found = young.get(prefixHash.getAsLong());
    return Optional.ofNullable(found == null ? old.get(prefixHash.getAsLong()) : found);
  }
}
