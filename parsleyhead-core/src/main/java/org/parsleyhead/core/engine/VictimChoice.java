package org.parsleyhead.core.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.AdapterReference;
import org.parsleyhead.core.api.MonotonicTime;

/** Chooses the adapter to evict among those that may be evicted. Implementations are pure. */
@FunctionalInterface
public interface VictimChoice {

  /**
   * An adapter that may be evicted.
   *
   * @param adapter the adapter
   * @param expectedReuse its starts over all hosts, older ones weighing less
   * @param lastUse when its last start was reported
   */
  record Candidate(AdapterReference adapter, double expectedReuse, MonotonicTime lastUse) {}

  /** Returns the victim; empty if there are no candidates. */
  Optional<Candidate> choose(List<Candidate> candidates);

  /** Evicts what is least likely to be used again. */
  static VictimChoice leastExpectedReuse() {
    return candidates ->
        candidates.stream()
            .min(
                Comparator.comparingDouble(Candidate::expectedReuse)
                    .thenComparing(Candidate::adapter));
  }

  /** Evicts what was used longest ago. */
  static VictimChoice leastRecentlyUsed() {
    return candidates ->
        candidates.stream()
            .min(Comparator.comparing(Candidate::lastUse).thenComparing(Candidate::adapter));
  }
}
