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
   * An engine that can run the request immediately.
   *
   * @param name the engine
   * @param load its estimated load as a fraction of the maximum batch; above 1 if requests wait
   * @param outstanding the number of running requests of this host on the engine
   */
  record Candidate(UpstreamName name, double load, int outstanding) {}

  /**
   * Returns the chosen candidate.
   *
   * @param candidates one or more candidates, in the adapter's order of preference
   * @param prefixHolder the engine that last received a prompt with the same prefix, if known
   * @param randomNumber a random number
   */
  Candidate choose(
      List<Candidate> candidates, Optional<UpstreamName> prefixHolder, long randomNumber);
}
