package org.parsleyhead.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.instance.AdapterKey;

/**
 * Selects the server at which the adapter of a request is loaded.
 *
 * <p>Immutable and thread-safe. Applies when no server that holds the adapter meets the latency
 * target. A server without a free adapter slot is used only if no other server has one. A further
 * copy is free of a penalty only if it meets the target and the adapter has recent demand, since a
 * copy takes the place of another adapter. A cold load goes to the server with the highest
 * rendezvous weight among those that lack the adapter, so that hosts make the same choice without
 * knowing each other's choices.
 *
 * @param adapter the adapter of the request
 * @param held whether a server holds the adapter or loads it
 * @param demanded whether this host has recently sent other requests for the adapter
 * @param targetLeft the time until the latency target of the request, in milliseconds
 * @param time the current time
 */
record CopyPolicy(
    AdapterKey adapter, boolean held, boolean demanded, double targetLeft, MonotonicTime time) {

  /** Cost of loading an adapter at a server other than the preferred one. */
  private static final double NOT_PREFERRED_COST_MILLISECONDS = 60;

  /**
   * Cost of fetching an adapter from the store although another server has a copy: a fetch is
   * weighted as half a request, which corresponds to about this delay.
   */
  private static final double ADDITIONAL_COPY_COST_MILLISECONDS = 300;

  /**
   * Cost of a second copy of an adapter without recent demand; below that of a holder whose
   * attempts all fail, so that such a holder is still replaced.
   */
  private static final double RARE_COPY_COST_MILLISECONDS = 1000;

  /** Returns the best load including penalties; empty if there are no candidates. */
  Optional<Candidate> best(List<Candidate> candidates) {
    List<Candidate> available =
        candidates.stream()
            .filter(load -> load.view().owned() && load.view().adapters().acceptsLoads(time))
            .toList();
    List<Candidate> loads = available.isEmpty() ? candidates : available;
    boolean copyExists = held || candidates.stream().anyMatch(this::formerlyHeld);
    Candidate preferred = preferred(loads);
    Candidate best = null;
    for (Candidate load : loads) {
      double penalty = copyExists ? copyPenalty(load) : 0;
      boolean elsewhere = !formerlyHeld(load) && load != preferred;
      Candidate candidate =
          load.withAddedCost(penalty + (elsewhere ? NOT_PREFERRED_COST_MILLISECONDS : 0));
      if (best == null || candidate.cost() < best.cost()) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private double copyPenalty(Candidate load) {
    if (!held) {
      return formerlyHeld(load) ? 0 : ADDITIONAL_COPY_COST_MILLISECONDS;
    }
    if (!demanded) {
      return RARE_COPY_COST_MILLISECONDS;
    }
    return load.cost() <= targetLeft ? 0 : ADDITIONAL_COPY_COST_MILLISECONDS;
  }

  private boolean formerlyHeld(Candidate candidate) {
    return candidate.view().adapters().formerlyHeld(adapter);
  }

  private Candidate preferred(List<Candidate> loads) {
    long key = Rendezvous.hash(adapter.toString());
    Candidate preferred = null;
    long highest = Long.MIN_VALUE;
    for (Candidate load : loads) {
      long weight = HolderSelection.weight(key, load);
      if (preferred == null || weight > highest) {
        preferred = load;
        highest = weight;
      }
    }
    return preferred;
  }
}
