package org.parsleyhead.core.engine;

import java.util.List;
import java.util.Optional;
import org.parsleyhead.core.api.HostName;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.api.Rendezvous;
import org.parsleyhead.core.api.Step;
import org.parsleyhead.core.api.UpstreamName;
import org.parsleyhead.core.membership.RightsSnapshot;
import org.parsleyhead.core.ticket.UpstreamItem;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state of the ownership duty of one host.
 *
 * <p>Immutable and thread-safe. For engines that other hosts own, only the declaration is kept.
 *
 * @param rightsSnapshot the host list and the attestations of the other hosts
 * @param engines the declared engines of the cell
 * @param owned the engines that the host list assigns to this host
 * @param permitIssuer the transfer permits of the cell; inactive unless this host issues them
 * @param nextNumber the number of the next order or permit request
 */
public record OwnershipState(
    RightsSnapshot rightsSnapshot,
    PMap<UpstreamName, UpstreamItem> engines,
    PMap<UpstreamName, OwnedEngine> owned,
    PermitIssuer permitIssuer,
    long nextNumber) {

  /** Returns the initial state of a process. */
  public static OwnershipState initial(RightsSnapshot rightsSnapshot, MonotonicTime time) {
    return new OwnershipState(
        rightsSnapshot, HashTreePMap.empty(), HashTreePMap.empty(), PermitIssuer.empty(time), 0);
  }

  /** Returns the adapters resident on an engine; empty if this host does not own the engine. */
  public java.util.Set<org.parsleyhead.core.api.AdapterReference> residentAt(UpstreamName engine) {
    OwnedEngine known = owned.get(engine);
    return known == null ? java.util.Set.of() : known.residency().resident();
  }

  Optional<HostName> permitIssuerHost() {
    return Rendezvous.first(PermitIssuer.RENDEZVOUS_KEY, rightsSnapshot.members());
  }

  OwnershipState withRightsSnapshot(RightsSnapshot next) {
    return new OwnershipState(next, engines, owned, permitIssuer, nextNumber);
  }

  OwnershipState withEngines(PMap<UpstreamName, UpstreamItem> next) {
    return new OwnershipState(rightsSnapshot, next, owned, permitIssuer, nextNumber);
  }

  OwnershipState withOwned(PMap<UpstreamName, OwnedEngine> next) {
    return new OwnershipState(rightsSnapshot, engines, next, permitIssuer, nextNumber);
  }

  OwnershipState with(OwnedEngine engine) {
    return withOwned(owned.plus(engine.name(), engine));
  }

  OwnershipState withPermitIssuer(PermitIssuer next) {
    return new OwnershipState(rightsSnapshot, engines, owned, next, nextNumber);
  }

  OwnershipState withNextNumber(long next) {
    return new OwnershipState(rightsSnapshot, engines, owned, permitIssuer, next);
  }

  Step<OwnershipState, EngineEffect> step(List<EngineEffect> effects) {
    return new Step<>(this, effects);
  }
}
