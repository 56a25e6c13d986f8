package org.parsleyhead.core.quarantine;

import java.util.Collection;
import org.parsleyhead.core.api.Rendezvous;

/**
 * Decides whether this host may send a trial in a turn. Implementations are stateless and
 * thread-safe.
 */
@FunctionalInterface
public interface TrialRight {

  /**
   * Returns whether this host has the right.
   *
   * @param trait the trait that is tried
   * @param turn the number of the turn, counted alike by all hosts that have the same evidence
   * @param liveHosts the hosts that are alive, this one included
   */
  boolean granted(Trait trait, long turn, Collection<String> liveHosts);

  /** Returns the right by which each turn belongs to one of the hosts that see each other. */
  static TrialRight inTurn(String self) {
    return (trait, turn, liveHosts) ->
        Rendezvous.first(trait.name() + ":" + turn, liveHosts).map(self::equals).orElse(true);
  }
}
