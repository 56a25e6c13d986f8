package org.parsleyhead.core.scheduling;

import java.util.Optional;
import java.util.OptionalLong;
import org.parsleyhead.core.api.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The engines that last received a prompt with a given prefix.
 *
 * <p>Immutable and thread-safe. Holds two generations of bounded size; the older one is discarded
 * when the younger one is full.
 *
 * @param younger the younger generation
 * @param older the older generation
 */
record PrefixAffinity(PMap<Long, UpstreamName> younger, PMap<Long, UpstreamName> older) {

  private static final int GENERATION_SIZE = 4096;

  static PrefixAffinity empty() {
    return new PrefixAffinity(HashTreePMap.empty(), HashTreePMap.empty());
  }

  PrefixAffinity withHolder(OptionalLong prefixHash, UpstreamName engine) {
    if (prefixHash.isEmpty()) {
      return this;
    }
    PMap<Long, UpstreamName> next = younger.plus(prefixHash.getAsLong(), engine);
    return next.size() > GENERATION_SIZE
        ? new PrefixAffinity(HashTreePMap.empty(), next)
        : new PrefixAffinity(next, older);
  }

  Optional<UpstreamName> holder(OptionalLong prefixHash) {
    if (prefixHash.isEmpty()) {
      return Optional.empty();
    }
    UpstreamName found = younger.get(prefixHash.getAsLong());
    return Optional.ofNullable(found == null ? older.get(prefixHash.getAsLong()) : found);
  }
}
