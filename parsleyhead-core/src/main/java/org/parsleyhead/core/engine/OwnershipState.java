package org.parsleyhead.core.engine;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.Standing;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of the ownership duty of one host.
 *
 * <p>Immutable and thread-safe. Only owned engines have more state than their declaration.
 *
 * @param standing the host list and the attestations
 * @param engines the engines of the cell, as declared
 * @param owned the engines that this host owns by the list
 * @param keeper the transfer allowance, if this host keeps it
 * @param nextNumber the next number of an order or a permit request
 */
public record OwnershipState(
    Standing standing,
    PMap<UpstreamName, UpstreamItem> engines,
    PMap<UpstreamName, OwnedEngine> owned,
    PermitKeeper keeper,
    long nextNumber) {

  /** Returns the state of a process that has just started. */
  public static OwnershipState initial(Standing standing, MonotonicTime time) {
    return new OwnershipState(
        standing, HashTreePMap.empty(), HashTreePMap.empty(), PermitKeeper.empty(time), 0);
  }

  /** Returns the adapters that an owned engine holds; empty if it is not owned. */
  public java.util.Set<org.parsleyhead.core.api.AdapterReference> residentAt(UpstreamName engine) {
    OwnedEngine known = owned.get(engine);
    return known == null ? java.util.Set.of() : known.residency().resident();
  }

  Optional<HostName> keeperHost() {
    return Rendezvous.first(PermitKeeper.RENDEZVOUS_KEY, standing.members());
  }

  OwnershipState withStanding(Standing next) {
    return new OwnershipState(next, engines, owned, keeper, nextNumber);
  }

  OwnershipState withEngines(PMap<UpstreamName, UpstreamItem> next) {
    return new OwnershipState(standing, next, owned, keeper, nextNumber);
  }

  OwnershipState withOwned(PMap<UpstreamName, OwnedEngine> next) {
    return new OwnershipState(standing, engines, next, keeper, nextNumber);
  }

  OwnershipState with(OwnedEngine engine) {
    return withOwned(owned.plus(engine.name(), engine));
  }

  OwnershipState withKeeper(PermitKeeper next) {
    return new OwnershipState(standing, engines, owned, next, nextNumber);
  }

  OwnershipState withNextNumber(long next) {
    return new OwnershipState(standing, engines, owned, keeper, next);
  }

  Step<OwnershipState, EngineEffect> step(List<EngineEffect> effects) {
    return new Step<>(this, effects);
  }
}
