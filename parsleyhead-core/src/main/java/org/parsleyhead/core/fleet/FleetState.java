package org.parsleyhead.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleyhead.core.api.MonotonicTime;
import org.parsleyhead.core.instance.AdapterVersions;
import org.parsleyhead.core.instance.Instance;
import org.parsleyhead.core.serving.EngineProfile;
import org.parsleyhead.core.serving.ServiceCatalogue;
import org.parsleyhead.core.serving.ServiceDefinition;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The fleet as seen by this host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param local the deadlines, counters and flags of this host
 * @param hubs the hubs as of the last tick
 * @param hosts the other hosts, by endpoint
 * @param former the hosts that no longer count but are still contacted
 * @param statistics the statistics that the other hosts reported, by endpoint
 * @param votes the votes that this host has given, by instance
 * @param leases the leases that this host claims or holds, by instance
 * @param engines the model servers whose lease this host holds, by instance
 * @param published the data that the platform publishes
 */
public record FleetState(
    LocalState local,
    List<String> hubs,
    PMap<String, HostView> hosts,
    FormerHosts former,
    PMap<String, HostStatistics> statistics,
    PMap<String, Vote> votes,
    PMap<String, Lease> leases,
    PMap<String, OwnedEngine> engines,
    Published published) {

  /**
   * Returns the state of a host that has just started. A host of a fleet that starts for the first
   * time may vote at once; a restarted one waits until its earlier votes have expired.
   *
   * @param settings the settings, including the seeds to contact first
   * @param first whether the whole fleet starts for the first time, so that no order was sent
   *     before
   * @param time the time of the start
   */
  public static FleetState initial(FleetSettings settings, boolean first, MonotonicTime time) {
    PMap<String, HostView> hosts = HashTreePMap.empty();
    for (String seed : settings.seeds()) {
      if (!seed.equals(settings.self())) {
        hosts = hosts.plus(seed, HostView.discovered(seed, time));
      }
    }
    return new FleetState(
        new LocalState(
            time.plus(settings.heartbeatTimeout()),
            Membership.joining(first, time, time.plus(settings.heartbeatTimeout())),
            first ? time : time.plus(settings.voteDuration()),
            0,
            0,
            settings.incarnation(),
            0,
            false,
            HashTreePMap.empty()),
        List.of(settings.self()),
        hosts,
        FormerHosts.NONE,
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        HashTreePMap.empty(),
        new Published(HashTreePMap.empty(), ServiceCatalogue.EMPTY, AdapterVersions.NONE));
  }

  /** Returns the endpoints of the other hosts that are alive. */
  public List<String> liveHosts() {
    return hosts.values().stream().filter(HostView::alive).map(HostView::endpoint).toList();
  }

  /**
   * Returns the report of the live and the known hosts, this one included.
   *
   * @param self the endpoint of this host
   */
  FleetEffect.HostsChanged hostsChanged(String self) {
    List<String> live = new ArrayList<>(liveHosts());
    live.add(self);
    return new FleetEffect.HostsChanged(List.copyOf(live), knownHosts());
  }

  /** Returns the number of hosts that count for majorities, this one included. */
  public int knownHosts() {
    return hosts.size() + 1;
  }

  /** Returns whether there are so many hosts that most exchange heartbeats with hubs only. */
  boolean large() {
    return knownHosts() > 2 * Hubs.MAXIMUM_HUBS;
  }

  /** Returns the identifiers of the instances whose lease this host holds. */
  public Collection<String> ownedInstances() {
    return engines.keySet();
  }

  PMap<String, Instance> instances() {
    return published.instances();
  }

  ServiceCatalogue catalogue() {
    return published.catalogue();
  }

  AdapterVersions versions() {
    return published.versions();
  }

  /** Returns a digest of the known hosts, this one included, and of which of them are alive. */
  long membershipDigest(HostIdentity self) {
    long digest = self.digest(!local.leaving());
    for (HostView host : hosts.values()) {
      digest ^= host.identity().digest(host.alive());
    }
    return digest;
  }

  int majority() {
    return knownHosts() / 2 + 1;
  }

  Optional<EngineProfile> profile(Instance instance) {
    return catalogue().service(instance.service()).flatMap(ServiceDefinition::engine);
  }

  /** Returns the live host that reports holding the lease of an instance. */
  Optional<String> leaseHolder(String instance) {
    return hosts.values().stream()
        .filter(host -> host.alive() && host.heldInstances().contains(instance))
        .map(HostView::endpoint)
        .findFirst();
  }

  /** Returns the instances whose lease this host or another live host holds. */
  Set<String> ownedByAny() {
    Set<String> owned = ownedByOthers();
    owned.addAll(engines.keySet());
    return owned;
  }

  /** Returns the instances whose lease another live host holds; the caller may change the set. */
  Set<String> ownedByOthers() {
    Set<String> owned = new HashSet<>();
    for (HostView host : hosts.values()) {
      if (host.alive()) {
        owned.addAll(host.heldInstances());
      }
    }
    return owned;
  }

  FleetState withLocal(LocalState next) {
    return new FleetState(next, hubs, hosts, former, statistics, votes, leases, engines, published);
  }

  FleetState withHosts(PMap<String, HostView> next) {
    return new FleetState(local, hubs, next, former, statistics, votes, leases, engines, published);
  }

  FleetState withHubs(List<String> next) {
    return new FleetState(
        local, next, hosts, former, statistics, votes, leases, engines, published);
  }

  FleetState withStatistics(PMap<String, HostStatistics> next) {
    return new FleetState(local, hubs, hosts, former, next, votes, leases, engines, published);
  }

  FleetState withHost(HostView host) {
    return withHosts(hosts.plus(host.endpoint(), host)).withFormer(former.minus(host.endpoint()));
  }

  FleetState withFormer(FormerHosts next) {
    return next == former
        ? this
        : new FleetState(local, hubs, hosts, next, statistics, votes, leases, engines, published);
  }

  Membership membership() {
    return local.membership();
  }

  FleetState withMembership(Membership next) {
    return withLocal(local.withMembership(next));
  }

  FleetState withVotes(PMap<String, Vote> next) {
    return new FleetState(local, hubs, hosts, former, statistics, next, leases, engines, published);
  }

  FleetState withLeases(PMap<String, Lease> next) {
    return new FleetState(local, hubs, hosts, former, statistics, votes, next, engines, published);
  }

  FleetState withEngines(PMap<String, OwnedEngine> next) {
    return new FleetState(local, hubs, hosts, former, statistics, votes, leases, next, published);
  }

  FleetState withEngine(String instance, OwnedEngine engine) {
    return withEngines(engines.plus(instance, engine));
  }

  FleetState withInstances(PMap<String, Instance> next) {
    return withPublished(new Published(next, catalogue(), versions()));
  }

  FleetState withCatalogue(ServiceCatalogue next) {
    return withPublished(new Published(instances(), next, versions()));
  }

  FleetState withVersions(AdapterVersions next) {
    return withPublished(new Published(instances(), catalogue(), next));
  }

  private FleetState withPublished(Published next) {
    return new FleetState(local, hubs, hosts, former, statistics, votes, leases, engines, next);
  }

  /**
   * The data that the platform publishes.
   *
   * <p>Immutable and thread-safe.
   *
   * @param instances the announced instances, by identifier
   * @param catalogue the catalogue in force
   * @param versions the newest declared versions of the adapters
   */
  record Published(
      PMap<String, Instance> instances, ServiceCatalogue catalogue, AdapterVersions versions) {}
}
