package org.parsleyhead.core.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;

/** Selects the adapter to evict from a list of candidates. Implementations are pure. */
@FunctionalInterface
public interface EvictionPolicy {

  /**
   * An adapter that may be evicted.
   *
   * @param adapter the resident adapter
   * @param expectedReuse the decayed number of requests started for it by all hosts
   * @param lastUse when a host last reported requests started for it
   */
  record Candidate(AdapterReference adapter, double expectedReuse, MonotonicTime lastUse) {}

  /** Returns the adapter to evict; empty if there are no candidates. */
  Optional<Candidate> choose(List<Candidate> candidates);

  /** Returns a policy that evicts the adapter with the lowest expected reuse. */
  static EvictionPolicy leastExpectedReuse() {
    return candidates ->
        candidates.stream()
            .min(
                Comparator.comparingDouble(Candidate::expectedReuse)
                    .thenComparing(Candidate::adapter));
  }

  /** Returns a policy that evicts the least recently used adapter. */
  static EvictionPolicy leastRecentlyUsed() {
    return candidates ->
        candidates.stream()
            .min(Comparator.comparing(Candidate::lastUse).thenComparing(Candidate::adapter));
  }
}
