package org.parsleyhead.core.scheduling;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.UpstreamName;

/**
 * Chooses the engine for a request among those that hold its adapter and have room. Implementations
 * are pure.
 */
@FunctionalInterface
public interface EngineChoice {

  /**
   * An engine that could run the request at once.
   *
   * @param name the engine
   * @param load its estimated load, from 0 to 1
   * @param outstanding how many requests of this host run there
   */
  record Candidate(UpstreamName name, double load, int outstanding) {}

  /**
   * Returns the chosen one of one or more candidates.
   *
   * @param candidates the candidates, in the adapter's order of preference
   * @param prefixHolder the engine that last got a prompt with the same beginning
   * @param randomNumber a random number
   */
  Candidate choose(
      List<Candidate> candidates, Optional<UpstreamName> prefixHolder, long randomNumber);
}
